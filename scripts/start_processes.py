"""Conditions of scripts/starts on how the processes themselves are run:
signals, output, settings, limits, processor time."""
import asyncio
import contextlib
import fcntl
import os
import resource
import signal
import sys
import time

from start_conditions import Condition, condition


class FromSettingsOn(Condition):
    """The program is held up while it reads its settings. Before its main
    function a signal has its default action, whatever the program does."""

    def write_settings(self, run, instance, path):
        if os.path.exists(path):
            os.remove(path)
        os.mkfifo(path)

    @staticmethod
    async def reads_settings(run, instance):
        """Where the settings are to be written, none if it ended."""
        while instance.runs():
            try:
                return os.open(run.settings_path(instance),
                               os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                await asyncio.sleep(0.001)
        return None

    @staticmethod
    def hand_settings(run, instance, pipe):
        text = run.settings_text(instance)
        path = run.settings_path(instance)
        # Later reads find a file.
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)
        with contextlib.suppress(BrokenPipeError):
            os.write(pipe, text.encode())
        os.close(pipe)


@condition
class TermInStart(FromSettingsOn):
    name = "term_in_start"
    what = "SIGTERM at a random moment of the start, then another start"
    own_start = True
    second_after_s = None

    async def start(self, run, instance):
        await run.launch(instance)
        pipe = await self.reads_settings(run, instance)
        is_early = run.random.random() < 0.5
        if is_early:
            instance.ask_to_end(signal.SIGTERM)
        self.hand_settings(run, instance, pipe)
        if not is_early:
            await asyncio.sleep(run.random.choice(
                [run.random.uniform(0, 0.05), run.random.uniform(0, 2)]))
            instance.ask_to_end(signal.SIGTERM)
        if self.second_after_s is not None:
            await asyncio.sleep(run.random.uniform(0, self.second_after_s))
            instance.send(signal.SIGTERM)
        await run.wait_end(instance)
        await run.launch(instance)
        self.hand_settings(run, instance,
                           await self.reads_settings(run, instance))
        await run.wait_ready(instance)


@condition
class TermTwice(TermInStart):
    name = "term_twice"
    what = "a second SIGTERM soon after the first, in the start and later"
    second_after_s = 0.5

    async def stop(self, run):
        await run.stop_all()
        await asyncio.sleep(0.2)
        for instance in run.instances:
            instance.send(signal.SIGTERM)


@condition
class Hangups(FromSettingsOn):
    name = "hangups"
    what = "SIGHUP again and again while it reads its settings, starts, stops"

    async def start(self, run, instance):
        await run.launch(instance)
        pipe = await self.reads_settings(run, instance)
        instance.send(signal.SIGHUP)
        await asyncio.sleep(0.005)
        if pipe is not None:
            self.hand_settings(run, instance, pipe)
        sender = asyncio.ensure_future(self.hang_up(run, instance, 2.0, 0.02))
        await run.wait_ready(instance)
        await sender

    async def stop(self, run):
        await run.stop_all()
        await asyncio.gather(*[self.hang_up(run, instance, 1.0, 0.1)
                               for instance in run.instances])

    @staticmethod
    async def hang_up(run, instance, span_s, longest_pause_s):
        end = time.monotonic() + span_s
        while time.monotonic() < end and instance.runs():
            instance.send(signal.SIGHUP)
            await asyncio.sleep(run.random.uniform(0, longest_pause_s))


@condition
class OutputClosed(Condition):
    name = "output_closed"
    what = "standard output and error are closed"

    def spawn(self, run, instance):
        def close():
            os.close(1)
            os.close(2)
        return {"preexec_fn": close}


@condition
class OutputBroken(Condition):
    name = "output_broken"
    what = "standard output is a pipe whose reader goes away (SIGPIPE)"

    def spawn(self, run, instance):
        reader, writer = os.pipe()
        self.ends.append((run.random.uniform(0, 2), reader, writer))
        return {"stdout": writer, "stderr": writer}

    async def before(self, run):
        self.ends = []

    async def during(self, run):
        await asyncio.sleep(0.5)
        began = time.monotonic()
        for after, reader, writer in sorted(self.ends):
            await asyncio.sleep(max(0, began + after - time.monotonic()))
            os.close(writer)
            os.close(reader)


@condition
class OutputUnread(Condition):
    name = "output_unread"
    what = "standard output is a small pipe that nobody reads"

    def spawn(self, run, instance):
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        self.ends += [reader, writer]
        return {"stdout": writer, "stderr": writer}

    async def before(self, run):
        self.ends = []

    async def after(self, run):
        for end in self.ends:
            os.close(end)


@condition
class OutputFull(Condition):
    name = "output_full"
    what = "standard output is a full device"

    def spawn(self, run, instance):
        output = os.open("/dev/full", os.O_WRONLY)
        self.ends.append(output)
        return {"stdout": output, "stderr": output}

    async def before(self, run):
        self.ends = []

    async def after(self, run):
        for end in self.ends:
            os.close(end)


@condition
class EmptyEnvironment(Condition):
    name = "empty_environment"
    what = "no environment, the root as working folder, closed standard input"

    def spawn(self, run, instance):
        return {"env": {}, "cwd": "/", "preexec_fn": lambda: os.close(0)}


@condition
class SettingsLate(Condition):
    name = "settings_late"
    what = "the settings file is missing, empty or half written at first"

    def write_settings(self, run, instance, path):
        text = run.settings_text(instance)
        part = run.random.choice([None, 0, run.random.randrange(len(text))])
        if part is None:
            if os.path.exists(path):
                os.remove(path)
        else:
            with open(path, "w", encoding="utf-8") as file:
                file.write(text[:part])
        asyncio.get_running_loop().call_later(
            run.random.uniform(0.02, 1.0), self.complete, path, text)

    @staticmethod
    def complete(path, text):
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)


class Limited(Condition):
    """Limits of the process alone."""
    limits = ()

    def spawn(self, run, instance):
        limits = self.limits

        def limit():
            for name, soft, hard in limits:
                resource.setrlimit(getattr(resource, name), (soft, hard))
        return {"preexec_fn": limit}


class ManyConnections(Limited):
    connections = 0

    async def serve(self, run):
        """Opens more connections at two instances than they have room for."""
        opened = []
        for instance in run.instances[:2]:
            for _ in range(self.connections):
                writer = await run.open_idle(instance)
                if writer is None:
                    break
                opened.append(writer)
        await asyncio.sleep(2)
        for instance in run.instances[:2] if run.judges_time else []:
            ready = any([await instance.says_ready(run.ports[1])
                         for _ in range(3)])
            if not ready and instance.runs():
                run.fault(instance, "not ready", "under many connections")
        await run.stop_all()
        for writer in opened:
            writer.close()

    async def stop(self, run):
        pass


@condition
class SoftLimit(ManyConnections):
    name = "soft_descriptors"
    what = "soft limit of 1,024 descriptors, 4,100 hard, 1,500 connections"
    limits = (("RLIMIT_NOFILE", 1024, 4100),)
    connections = 1500


@condition
class HardLimit(ManyConnections):
    name = "descriptors"
    what = "4,100 descriptors and 4,500 connections"
    limits = (("RLIMIT_NOFILE", 4100, 4100),)
    connections = 4500


@condition
class FewDescriptors(ManyConnections):
    name = "few_descriptors"
    what = "1,024 descriptors at most and 1,500 connections"
    limits = (("RLIMIT_NOFILE", 1024, 1024),)
    connections = 1500


@condition
class AddressSpace(Limited):
    name = "address_space"
    what = "address space of 256 to 512 MB (not a limit that is stated)"

    def spawn(self, run, instance):
        size = run.random.randint(256, 512) << 20
        self.limits = (("RLIMIT_AS", size, size),)
        return super().spawn(run, instance)


@condition
class LogLimit(Limited):
    name = "log_limit"
    what = "the file of standard output may hold 2,000 bytes"
    limits = (("RLIMIT_FSIZE", 2000, 2000),)


@condition
class SmallStack(Limited):
    name = "stack"
    what = "stacks of 1 MB, no core files, files of 64 MB at most"
    limits = (("RLIMIT_STACK", 1 << 20, 1 << 20), ("RLIMIT_CORE", 0, 0),
              ("RLIMIT_FSIZE", 64 << 20, 64 << 20))


@condition
class Frozen(Condition):
    name = "frozen"
    what = "series of SIGSTOP and SIGCONT in the start and later"

    async def start(self, run, instance):
        await run.launch(instance)
        freezer = asyncio.ensure_future(self.freeze(run, instance))
        await run.wait_ready(instance)
        await freezer

    @staticmethod
    async def freeze(run, instance):
        for _ in range(4):
            await asyncio.sleep(run.random.uniform(0, 0.8))
            instance.send(signal.SIGSTOP)
            await asyncio.sleep(run.random.uniform(0, 0.8))
            instance.send(signal.SIGCONT)

    async def serve(self, run):
        await asyncio.gather(*[self.freeze(run, one)
                               for one in run.instances])


@condition
class LongStreams(Condition):
    name = "long_streams"
    what = "streams of 15 s are open when SIGTERM comes"

    async def before(self, run):
        run.world.event_pause_s = 0.5


class Busy(Condition):
    """Busy processes of this program on cores that the instances share."""
    cores = 1
    busy = 0

    async def prepare(self, run):
        allowed = sorted(os.sched_getaffinity(0))
        self.allowed = allowed[:self.cores]
        self.processes = []
        for _ in range(self.busy):
            self.processes.append(await asyncio.create_subprocess_exec(
                sys.executable, "-c", "while True: pass",
                preexec_fn=lambda: os.sched_setaffinity(0, self.allowed)))

    def spawn(self, run, instance):
        return {"preexec_fn":
                lambda: os.sched_setaffinity(0, self.allowed)}

    async def close(self, run):
        for process in self.processes:
            os.kill(process.pid, signal.SIGKILL)
            await process.wait()


@condition
class FewCores(Busy):
    name = "few_cores"
    what = "all instances on one core"


@condition
class BusyCores(Busy):
    name = "busy"
    what = "all instances on two cores beside four busy processes"
    cores = 2
    busy = 4
