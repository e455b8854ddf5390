"""Starts and stops a whole fleet of the program's processes, round by round.

Judges the stated targets: every instance is ready when traffic starts, none
ends before it is told to, and each ends with status 0 within its grace."""
import argparse
import asyncio
import os
import random
import shutil
import signal
import statistics
import sys
import tempfile
import time

from platform_world import ask
from start_conditions import CONDITIONS
import start_noise  # noqa: F401
import start_processes  # noqa: F401
from start_world import (GRACE_S, PROGRAM, FleetWorld, Instance, fleet_of,
                         free_port, zone_name)

# Machines start within this time of each other.
START_SPREAD_S = 0.3
# How long an instance is waited for that is late already.
LATE_PATIENCE_S = 30
USE_S = 1.0


class Run:
    """One fleet under one condition."""

    def __init__(self, options, condition, folder):
        self.options = options
        self.condition = condition
        self.folder = folder
        self.random = random.Random(f"{options.seed} {condition.name}")
        self.fleet = condition.fleet(fleet_of(
            options.fleet, options.instances, options.zones, options.engines,
            options.services))
        self.judges_time = options.patience is None
        self.ready_s = options.patience or self.fleet.ready_s
        self.end_s = options.patience or GRACE_S
        self.world = None
        self.instances = []
        self.ports = []
        self.began = 0.0
        self.round = 0
        self.launches = 0
        self.attempts = 0
        self.faults = []
        self.worst_pause_s = 0.0
        self.background = []

    async def prepare(self):
        self.world = FleetWorld(self.options.seed, self.fleet)
        await self.world.start()
        # Of several runs at once on this machine each has its addresses.
        chooser = random.SystemRandom()
        first, second = chooser.randint(2, 250), chooser.randint(2, 250)
        first_port = free_port(19)
        self.ports = [first_port, first_port + 1, first_port + 2,
                      first_port + 3]
        for index, count in enumerate(self.fleet.instances):
            for number in range(count):
                zone = zone_name(index)
                host = f"127.{first}.{second}.{len(self.instances) + 1}"
                self.instances.append(
                    Instance(f"edge-{zone}-{number}", zone, host))
        self.background.append(asyncio.ensure_future(self.note_pauses()))
        await self.condition.prepare(self)

    async def note_pauses(self):
        """How long this program itself held everything up."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.worst_pause_s = max(self.worst_pause_s,
                                     time.monotonic() - began - 0.01)

    def elapsed(self):
        return time.monotonic() - self.began

    def settings_text(self, instance):
        seeds = [other.host for other in self.instances[:3]]
        return instance.fields(self.ports, self.world.store_port, seeds,
                               self.fleet.memory_mb)

    def settings_path(self, instance):
        return os.path.join(self.folder, f"{instance.name}.toml")

    async def launch(self, instance):
        path = self.settings_path(instance)
        self.condition.write_settings(self, instance, path)
        self.launches += 1
        log = os.path.join(
            self.folder, f"{instance.name}.{self.round}.{self.launches}.log")
        await instance.launch(path, log,
                              **self.condition.spawn(self, instance))

    async def wait_ready(self, instance):
        """Since the start of the machines, or of this instance if later."""
        pause = 0.05 if len(self.instances) < 20 else 0.25
        since = instance.started if self.condition.own_start else self.began
        process = instance.process
        while instance.runs() and instance.process is process:
            if await instance.says_ready(self.ports[1]):
                instance.ready = time.monotonic() - since
                break
            if time.monotonic() - since > max(LATE_PATIENCE_S, self.ready_s):
                break
            await asyncio.sleep(pause)
        if instance.ready is None and not instance.runs():
            return
        if instance.ready is None or instance.ready > self.ready_s:
            self.fault(instance, "late", "never ready" if instance.ready is
                       None else f"ready after {instance.ready:.2f} s")

    def fault(self, instance, kind, what):
        self.faults.append((self.round, kind))
        print(f"  FAULT round {self.round} {instance.name} {kind}: {what}; "
              f"last line: {instance.last_line()}", flush=True)

    async def play_round(self, number):
        self.round = number
        self.worst_pause_s = 0.0
        if number % 2 == 0:
            self.world.empty()
        await self.condition.before(self)
        order = self.instances[:]
        self.random.shuffle(order)
        self.began = time.monotonic()
        during = asyncio.ensure_future(self.condition.during(self))
        await asyncio.gather(*[
            self.start_after(self.random.uniform(0, START_SPREAD_S), instance)
            for instance in order])
        await during
        ready = sorted(instance.ready for instance in self.instances
                       if instance.ready is not None)
        callers = asyncio.gather(*[
            self.use(instance) for instance in self.instances
            if instance.ready is not None])
        await self.condition.serve(self)
        peak = self.check_memory()
        await self.condition.stop(self)
        await asyncio.gather(*[self.wait_end(instance)
                               for instance in self.instances])
        served = sum(await callers)
        await self.condition.after(self)
        self.report(ready, served, peak)

    def check_memory(self):
        peaks = {instance: instance.peak_memory_mb()
                 for instance in self.instances if instance.runs()}
        for instance, peak in peaks.items():
            if peak > self.fleet.memory_mb:
                self.fault(instance, "memory", f"{peak} MB")
        return max(peaks.values(), default=0)

    async def start_after(self, delay, instance):
        await asyncio.sleep(delay)
        await self.condition.start(self, instance)

    async def stop_all(self, longest_delay=0.0):
        async def stop(instance):
            await asyncio.sleep(self.random.uniform(0, longest_delay))
            # What ended before it was told to is a fault.
            if instance.runs():
                instance.ask_to_end(signal.SIGTERM)
        await asyncio.gather(*[stop(one) for one in self.instances])

    async def wait_end(self, instance):
        process = instance.process
        if instance.asked_to_end is None:
            await process.wait()
            self.fault(instance, "ended by itself",
                       f"status {process.returncode}, "
                       f"{instance.ended - instance.started:.2f} s after its "
                       "start")
            return
        try:
            left = instance.asked_to_end + self.end_s - time.monotonic()
            await asyncio.wait_for(process.wait(), max(0.01, left))
        except asyncio.TimeoutError:
            self.fault(instance, "still there",
                       f"{self.end_s} s after SIGTERM")
            instance.send(signal.SIGKILL)
            await process.wait()
            return
        if process.returncode != 0 and not instance.is_killed:
            self.fault(instance, "status", f"{process.returncode} after "
                       "SIGTERM")

    async def use(self, instance):
        """Callers that go on until the process is gone."""
        idle = [await self.open_idle(instance) for _ in range(3)]
        served = await asyncio.gather(
            *[self.call(instance, path)
              for path in ("/safe/x", "/once/x", "/stream/")])
        for writer in filter(None, idle):
            writer.close()
        return sum(served)

    async def open_idle(self, instance):
        try:
            async with asyncio.timeout(2):
                _, writer = await asyncio.open_connection(
                    instance.host, self.ports[0])
            return writer
        except (OSError, asyncio.TimeoutError):
            return None

    async def call(self, instance, path):
        served = 0
        while instance.runs():
            self.attempts += 1
            try:
                async with asyncio.timeout(20):
                    status, _, whole = await ask(
                        self.ports[0], path, f"{self.attempts:016x}",
                        host=instance.host)
                served += status == 200 and whole
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(0.1)
        return served

    def report(self, ready, served, peak):
        ends = [instance.ended - instance.asked_to_end
                for instance in self.instances
                if instance.ended and instance.asked_to_end]
        statuses = {}
        for instance in self.instances:
            code = instance.process.returncode
            statuses[code] = statuses.get(code, 0) + 1
        print(f"  round {self.round}: ready {len(ready)} of "
              f"{len(self.instances)}"
              + (f", p50 {statistics.median(ready):.2f} s, worst "
                 f"{ready[-1]:.2f} s" if ready else "")
              + (f"; ended in {max(ends):.2f} s at most" if ends else "")
              + f", statuses {statuses}; {served} answers, "
              f"{peak} MB at most; longest pause of "
              f"this program {self.worst_pause_s:.2f} s", flush=True)

    async def close(self):
        for instance in self.instances:
            if instance.runs():
                instance.send(signal.SIGKILL)
                await instance.process.wait()
        for task in self.background:
            task.cancel()
        await self.condition.close(self)


async def play(options, condition):
    folder = tempfile.mkdtemp(prefix=f"starts-{condition.name}-")
    run = Run(options, condition, folder)
    print(f"{condition.name}: {condition.what}; {sum(run.fleet.instances)} "
          f"instances in {len(run.fleet.instances)} zones, "
          f"{sum(map(sum, run.fleet.engines))} engines, seed {options.seed}",
          flush=True)
    try:
        await run.prepare()
        for number in range(options.rounds):
            await run.play_round(number)
    finally:
        await run.close()
    if run.faults:
        print(f"  {len(run.faults)} faults; logs in {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return len(run.faults)


def read_options():
    parser = argparse.ArgumentParser(
        prog="scripts/starts", description=__doc__)
    parser.add_argument("--fleet", choices=("small", "large"),
                        default="small")
    parser.add_argument("--instances", type=int)
    parser.add_argument("--zones", type=int)
    parser.add_argument("--engines", type=int)
    parser.add_argument("--services", type=int)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--condition", action="append",
                        help="NAME or all; may be given again")
    parser.add_argument(
        "--patience", type=float,
        help="seconds to readiness and to the end instead of the stated ones")
    parser.add_argument("--list", action="store_true")
    return parser.parse_args()


def main():
    options = read_options()
    if options.list:
        for condition in CONDITIONS.values():
            print(f"{condition.name:20} {condition.what}")
        return
    names = options.condition or ["plain"]
    if "all" in names:
        names = list(CONDITIONS)
    unknown = [name for name in names if name not in CONDITIONS]
    if unknown:
        sys.exit(f"starts: no condition {unknown[0]}, see --list")
    if not os.path.exists(PROGRAM):
        sys.exit(f"starts: {PROGRAM} is not built")
    if sys.version_info < (3, 12):
        # The default before starts a thread for each process.
        asyncio.set_child_watcher(asyncio.PidfdChildWatcher())
    faults = {name: asyncio.run(play(options, CONDITIONS[name]()))
              for name in names}
    bad = {name: count for name, count in faults.items() if count}
    if bad:
        sys.exit(f"starts: faults under {bad}")
    print("starts: passed")
