"""Plays instances whose views of the store are disturbed while the
configuration changes; what smoke_changes and smoke_upgrade have in common.

In each round a disturbance hits one instance or all, and an instance may start
again beside it. Then routes, keys and services change in quick succession and a
backend server leaves. Callers ask all instances all the time:

- A change is in force at each ready instance 2 s after it was written, or 3 s
  after the instance could reach the store again.
- A change that an instance has served by is not undone there.
- What every configuration allows is never answered 4xx.
- What is refused for good is answered 401 or 404 where the view is complete.
- A leaving server gets no request later than 3 s after its mark."""
import asyncio
import collections
import contextlib
import dataclasses
import os
import random
import signal
import sys
import tempfile
import time

from local_fleet import free_ports
from platform_world import (Server, World, ask, is_ready, program,
                            write_node_file)

# Longest waits, generous: they only end a run that hangs.
READY_PATIENCE_S = 60
STOP_PATIENCE_S = 30
LOG_BYTES = 20000
MOST_SHOWN = 20

ROUNDS = 3
CONFIG_IN_FORCE_S = 2.0
# An instance that could not reach the store is in touch again after this.
CONTACT_S = 3.0
LEFT_S = 3.0
CHECKED_S = 1.5
ASK_EVERY_S = 0.05
CHANGE_EVERY_S = (0.1, 0.5)
COPY_LAGS_S = (0.0, 0.8, 3.0)
DISTURBANCES = ("restored", "silent", "answers lost", "down", "none")
DISTURBED_S = (2.0, 6.0)
# Changes begin this long before or after its end.
OVERLAP_S = 1.5
CHANGES_S = 3.0
# The store is busier in the span that it loses than after it.
LOST_CHANGE_EVERY_S = 0.2
LOST_S = (1.0, 3.0)
# What every configuration allows.
STEADY = ("/safe/x", "/once/x", "/safe/y", "/once/y", "/safe/z", "/stream/")


def expect(holds, what):
    if not holds:
        raise SystemExit(f"failed: {what}")


class RecordingServer(Server):
    """Keeps when it got which attempt."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.began = []

    async def handle(self, writer, method, target, fields, body):
        attempt = fields.get("x-fireflysail-attempt-id")
        if attempt:
            self.began.append((time.monotonic(), attempt))
            self.world.ran_by[attempt] = self
        return await super().handle(writer, method, target, fields, body)


@dataclasses.dataclass
class Version:
    """A configuration: the service of each prefix, and the keys."""
    services: dict
    keys: set
    written_at: float = 0.0
    # By a store that came back from an older copy.
    is_lost: bool = False

    def outcome(self, path, key):
        """The service that the request goes to, or the refusal."""
        prefix = path[:path.index("/", 1) + 1]
        if prefix not in self.services:
            return 404
        return self.services[prefix] if key in self.keys else 401


class Operator:
    """Writes configurations and knows them in their order."""

    def __init__(self, world, services, keys):
        self.world = world
        self.versions = []
        self.write(services, keys)

    def write(self, services, keys):
        self.world.plain_routes = [
            (prefix, "unsafe" if prefix == "/once/" else "safe", service)
            for prefix, service in services.items() if service != "model"]
        self.world.configure(["/stream/"], sorted(keys))
        self.versions.append(Version(services, keys, time.monotonic()))

    def route(self, prefix, service):
        services = dict(self.versions[-1].services)
        services[prefix] = service
        self.write(services, self.versions[-1].keys)

    def drop_route(self, prefix):
        services = dict(self.versions[-1].services)
        del services[prefix]
        self.write(services, self.versions[-1].keys)

    def add_key(self, key):
        self.write(self.versions[-1].services, self.versions[-1].keys | {key})

    def drop_key(self, key):
        self.write(self.versions[-1].services, self.versions[-1].keys - {key})

    def forget_lost(self):
        """Goes on from the version before the newest, which was lost."""
        lost = self.versions[-1]
        lost.is_lost = True
        self.versions.append(dataclasses.replace(
            self.versions[-2], written_at=time.monotonic()))

    def last_kept(self, index):
        while self.versions[index].is_lost:
            index -= 1
        return index


class Instance:
    def __init__(self, name):
        self.name = name
        # Started from now on.
        self.program = program()
        self.ports = free_ports(4)
        self.process = None
        self.is_ready = False
        # Counts processes, so that answers of one that was stopped are known.
        self.starts = 0
        # Since when it can reach the store; infinite while it cannot.
        self.reached_at = 0.0
        # Whether what it should refuse was refused so, by the time it was sent.
        self.refusals = []
        # The last version that is due here, and the last that it served by.
        self.due = 0
        self.served = 0


class Run:
    planned_rounds = ROUNDS

    def __init__(self, seed):
        self.world = World(seed, RecordingServer)
        self.world.plain_services = ["desk", "counter"]
        self.world.ran_by = {}
        # The world's own draws depend on what is asked of it.
        self.random = random.Random(seed)
        self.instances = [Instance(f"n{number}") for number in range(3)]
        self.operator = None
        self.attempts = 0
        self.probes = []
        self.faults = []
        self.statuses = collections.Counter()
        self.rounds = []
        self.left = None
        self.longest_wait_s = 0.0

    def log_path(self, instance):
        return os.path.join(self.folder, f"{instance.name}.log")

    async def listen(self, instance):
        listener = await asyncio.start_server(
            self.world.store.serve_for(instance.name), "127.0.0.1", 0)
        write_node_file(os.path.join(self.folder, f"{instance.name}.toml"),
                        instance.name, "a", instance.ports,
                        listener.sockets[0].getsockname()[1])

    async def start(self, instance):
        instance.served = instance.due
        instance.starts += 1
        with open(self.log_path(instance), "ab") as log:
            instance.process = await asyncio.create_subprocess_exec(
                instance.program, "relay", "--node-file",
                os.path.join(self.folder, f"{instance.name}.toml"), stdout=log)

    async def until_ready(self, instance):
        end = time.monotonic() + READY_PATIENCE_S
        while not await is_ready(instance.ports[1]):
            expect(time.monotonic() < end, f"{instance.name} was never ready")
            await asyncio.sleep(0.02)
        instance.is_ready = True

    async def stop(self, instance, number=signal.SIGTERM):
        instance.is_ready = False
        instance.starts += 1
        instance.process.send_signal(number)
        code = await asyncio.wait_for(
            instance.process.wait(), STOP_PATIENCE_S)
        expect(code == (0 if number == signal.SIGTERM else -number),
               f"{instance.name} ended with {code}")

    async def start_again(self, instance, after_s, number):
        await asyncio.sleep(after_s)
        await self.stop(instance, number)
        await self.start(instance)
        await self.until_ready(instance)

    def report(self, instance, what):
        self.faults.append(f"{time.time():.3f} {instance.name}: {what}")

    def update_due(self, instance, now):
        """The last version that must be in force by now."""
        for index in range(instance.due + 1, len(self.operator.versions)):
            version = self.operator.versions[index]
            due_at = max(version.written_at + CONFIG_IN_FORCE_S,
                         instance.reached_at + CONTACT_S)
            if not version.is_lost and now > due_at:
                instance.due = index

    async def try_once(self, instance, path, key):
        self.attempts += 1
        attempt = f"{self.attempts:016x}"
        versions = self.operator.versions
        began, starts = time.monotonic(), instance.starts
        self.update_due(instance, began)
        first = max(instance.due, self.operator.last_kept(instance.served))
        newest = len(versions) - 1
        is_settled = instance.due == newest
        is_ready = instance.is_ready
        status, _, whole = await ask(instance.ports[0], path, attempt, key)
        self.statuses[status if whole or not status else "cut"] += 1
        outcome = status if status != 200 else (
            self.world.ran_by[attempt].service)
        said = (f"{path} with {key}, sent {time.monotonic() - began:.3f} s ago"
                f" as {attempt}: {outcome}")
        allowed = [version.outcome(path, key) for version in versions]
        if 400 <= status < 500 and status not in allowed:
            self.report(instance, f"{said}, no configuration refuses it")
            return
        if not is_ready or instance.starts != starts:
            return
        if is_settled and allowed[newest] in (401, 404):
            instance.refusals.append((began, status == allowed[newest]))
        if status in (0, 503) or status >= 500:
            # It may be answered by a version written since it was sent.
            is_proper = not {401, 404}.intersection(allowed[newest:])
            if is_settled and is_proper:
                self.report(instance, f"{said}, not {allowed[newest]}")
            return
        fitting = [index for index in range(first, len(versions))
                   if allowed[index] == outcome]
        if not fitting:
            self.report(
                instance, f"{said}, but version {instance.due} is due and"
                f" {instance.served} was served; since version {first}:"
                f" {allowed[first:]}")
            return
        instance.served = max(instance.served, fitting[0])
        self.note_wait(instance, fitting[-1], began)

    def note_wait(self, instance, served, began):
        """For how long the version after that was not in force yet."""
        for version in self.operator.versions[served + 1:]:
            if not version.is_lost:
                since = max(version.written_at, instance.reached_at)
                self.longest_wait_s = max(self.longest_wait_s, began - since)
                return

    async def call(self, instance):
        """Asks all the time, also before it is ready."""
        tries = set()
        number = 0
        while True:
            wanted = [(STEADY[number % len(STEADY)], "key")]
            for probe in (2 * number, 2 * number + 1):
                wanted.append(self.probes[probe % len(self.probes)])
            for path, key in wanted:
                made = asyncio.ensure_future(self.try_once(instance, path, key))
                tries.add(made)
                made.add_done_callback(tries.discard)
            number += 1
            await asyncio.sleep(ASK_EVERY_S)

    async def restore(self):
        """Loses a version, which the operator writes again or not."""
        store, source = self.world.store, self.random
        taken, known = store.take_copy(), self.world.version
        self.operator.route("/lost/", "desk")
        end = time.monotonic() + source.uniform(*LOST_S)
        while time.monotonic() < end:
            await asyncio.sleep(LOST_CHANGE_EVERY_S)
            for server in self.world.servers.values():
                server.register()
        config = store.objects["config"]["main"]["Spec"]
        is_silent = store.forgets_watches = source.random() < 0.4
        store.silent, store.down = is_silent, not is_silent
        await asyncio.sleep(source.uniform(0.3, 1.5))
        store.restore(taken)
        store.silent = store.down = False
        if source.random() < 0.5:
            store.put("config", "main", config)
            self.operator.versions[-1].written_at = time.monotonic()
        else:
            self.world.version = known
            self.operator.forget_lost()
        for server in self.world.servers.values():
            server.register()

    async def disturb(self, kind, hit, lasts_s):
        store = self.world.store
        names = {instance.name for instance in hit}
        if kind == "silent":
            store.silence(names)
            return
        if kind == "none":
            return
        for instance in hit:
            instance.reached_at = float("inf")
        if kind == "restored":
            for _ in range(self.random.choice((1, 2, 3))):
                await self.restore()
        elif kind == "answers lost":
            store.loses_answers.update(names)
            await asyncio.sleep(lasts_s)
            store.loses_answers.clear()
        else:
            store.cut(names)
            await asyncio.sleep(lasts_s)
            store.cut_off.clear()
        for instance in hit:
            instance.reached_at = time.monotonic()

    async def change(self, number, leaving):
        """The operator's changes, in the order drawn."""
        operator = self.operator
        moved = operator.versions[-1].services["/moved/"]

        def leave():
            leaving.state = "draining"
            leaving.register()
            self.left = (leaving, time.monotonic())
        changes = [
            lambda: operator.route(f"/added-{number}/", "counter"),
            lambda: operator.add_key(f"added-{number}"),
            lambda: operator.route(
                "/moved/", "counter" if moved == "desk" else "desk"),
            lambda: operator.drop_route(f"/dropped-{number}/"),
            lambda: operator.drop_key(f"dropped-{number}"),
            leave]
        self.random.shuffle(changes)
        for make in changes:
            make()
            await asyncio.sleep(self.random.uniform(*CHANGE_EVERY_S))

    def probe(self, number):
        """Asks for what changes in this round and changed in the last."""
        self.probes = [("/moved/x", "key"), ("/lost/x", "key")]
        for changed in {max(number - 1, 0), number}:
            self.probes += [(f"/added-{changed}/x", "key"),
                            (f"/dropped-{changed}/x", "key"),
                            ("/safe/x", f"added-{changed}"),
                            ("/safe/x", f"dropped-{changed}")]

    def check_refusals(self):
        """Callers that are wrong learn so: a view may seem old for a moment
        only."""
        since = time.monotonic() - CHECKED_S
        for instance in self.instances:
            made = [is_right for began, is_right in instance.refusals
                    if began > since]
            if not any(made):
                self.report(instance, f"none of {len(made)} wrong requests got"
                            " 401 or 404")

    def check_left(self):
        leaving, marked_at = self.left
        known_at = max([marked_at] + [instance.reached_at
                                      for instance in self.instances])
        late = [(at - known_at, attempt) for at, attempt in leaving.began
                if at > known_at + LEFT_S]
        if late:
            self.faults.append(
                f"{leaving.name} got {len(late)} requests after it left, the"
                f" last {late[-1][0]:.3f} s after its mark as {late[-1][1]}")

    async def play_round(self, number):
        """Draws what happens."""
        source = self.random
        kind = source.choice(DISTURBANCES)
        hits_all = kind == "restored" or source.random() < 0.5
        hit = self.instances if hits_all else [source.choice(self.instances)]
        restarted = source.choice(self.instances + [None] * 2)
        await self.play_drawn(number, kind, hit, restarted)

    async def play_drawn(self, number, kind, hit, restarted):
        source = self.random
        hits_all = len(hit) == len(self.instances)
        self.rounds.append(
            f"{kind} at {', '.join(instance.name for instance in hit)}"
            + (f", {restarted.name} starts again" if restarted else ""))
        print(f"{time.time():.3f} round {number}: {self.rounds[-1]}",
              flush=True)
        leaving = source.choice([server for server
                                 in self.world.servers.values()
                                 if not server.accelerator])
        lasts_s = (0.0 if kind in ("silent", "none")
                   else source.uniform(*DISTURBED_S))
        self.probe(number)
        beside = []
        if restarted:
            beside.append(asyncio.ensure_future(self.start_again(
                restarted, source.uniform(0, lasts_s + CHANGES_S),
                source.choice((signal.SIGTERM, signal.SIGKILL)))))
        offset_s = source.uniform(-OVERLAP_S, OVERLAP_S)
        disturbing = asyncio.ensure_future(self.disturb(kind, hit, lasts_s))
        if hits_all or kind in ("silent", "none"):
            # Nobody can write, or there is no end.
            await disturbing
            await asyncio.sleep(abs(offset_s))
        else:
            await asyncio.sleep(lasts_s + offset_s)
        await self.change(number, leaving)
        await disturbing
        await asyncio.gather(*beside)
        await asyncio.sleep(max(LEFT_S, CONTACT_S) + CHECKED_S)
        self.check_left()
        self.check_refusals()
        expect(not self.faults, f"{len(self.faults)} faults")
        leaving.state = "ready"
        leaving.register()

    async def play(self, folder):
        self.folder = folder
        await self.world.start()
        services = {"/stream/": "model", "/safe/": "desk", "/once/": "desk",
                    "/moved/": "desk"}
        keys = {"key"}
        for number in range(self.planned_rounds):
            services[f"/dropped-{number}/"] = "desk"
            keys.add(f"dropped-{number}")
        self.operator = Operator(self.world, services, keys)
        self.world.store.copy_lag_s = self.random.choice(COPY_LAGS_S)
        print(f"copies lag {self.world.store.copy_lag_s} s")
        self.probe(0)
        callers = []
        try:
            for instance in self.instances:
                await self.listen(instance)
                await self.start(instance)
            await asyncio.gather(*[self.until_ready(instance)
                                   for instance in self.instances])
            callers = [asyncio.ensure_future(self.call(instance))
                       for instance in self.instances]
            await asyncio.sleep(CONTACT_S + CHECKED_S)
            for number in range(self.planned_rounds):
                await self.play_round(number)
            await asyncio.gather(*[self.stop(instance)
                                   for instance in self.instances])
            print(f"answers by status: {dict(self.statuses)}, longest until a"
                  f" change was in force: {self.longest_wait_s:.3f} s")
        except (SystemExit, asyncio.TimeoutError):
            self.show()
            raise
        finally:
            for caller in callers:
                caller.cancel()
            for instance in self.instances:
                with contextlib.suppress(ProcessLookupError, AttributeError):
                    instance.process.kill()

    def show(self):
        for instance in self.instances:
            if not instance.process:
                continue
            with open(self.log_path(instance), "rb") as log:
                print(f"the last that {instance.name} said:",
                      log.read().decode()[-LOG_BYTES:], file=sys.stderr)
        print(f"answers by status: {dict(self.statuses)}",
              *self.faults[:MOST_SHOWN], sep="\n", file=sys.stderr)
