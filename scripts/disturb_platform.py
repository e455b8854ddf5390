#!/usr/bin/env python3
"""Instances of the program in a small world of the platform's formats, under
callers that misbehave and servers that fail, started and stopped in series:
scripts/disturb_platform.py [--seed N] [--seconds N] [--instances N]

In half of the runs the store also comes back from older copies. Judges only
that no instance ends by itself, or with an error, that each is ready while the
store answers and has a route that is added after the faults, and that a
sanitizer has nothing to say."""
import argparse
import asyncio
import collections
import contextlib
import os
import random
import signal
import socket
import struct
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from local_fleet import free_ports  # noqa: E402
from platform_world import (Server, World, answer, ask,  # noqa: E402
                            is_ready, program, write_node_file)

# Longest waits, generous: they only end a run that hangs.
READY_PATIENCE_S = 60
STOP_PATIENCE_S = 60
IN_FORCE_PATIENCE_S = 20
COPY_EVERY_S = 0.25
COPIES = 28
CALLERS = 24
SANITIZER_WORDS = ("Sanitizer", "runtime error", "invariant broken",
                   "terminate called", "Assertion")


def expect(holds, what):
    if not holds:
        raise SystemExit(f"disturb_platform: {what}")


class FailingServer(Server):
    """Fails part of its requests, each in another way."""

    async def handle(self, writer, method, target, fields, body):
        world = self.world
        fields.setdefault("x-fireflysail-attempt-id", "")
        if not target.startswith("/fireflysail/") and \
                world.random.random() < world.fault_share:
            return await self.fail(writer, fields)
        return await super().handle(writer, method, target, fields, body)

    async def fail(self, writer, fields):
        attempt = fields.get("x-fireflysail-attempt-id", "")
        echo = (f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
                "X-Fireflysail-Server-Stamp: s\r\n")
        chunked = (f"HTTP/1.1 200 OK\r\n{echo}"
                   "Transfer-Encoding: chunked\r\n\r\n").encode()
        pick = self.world.random.choice
        way = pick(("reset", "close", "garble", "drip", "silent", "refuse",
                    "back_off", "limit", "leave", "cut", "status", "long",
                    "twice", "bad_chunk"))
        if way == "reset":
            writer.transport.abort()
        elif way == "garble":
            writer.write(self.world.random.randbytes(pick((1, 100, 70000))))
        elif way == "drip":
            for byte in chunked + b"9\r\nid: 1\n\n":
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0.002)
        elif way == "silent":
            writer.write(chunked if pick((True, False)) else b"")
            await asyncio.sleep(pick((0.3, 3, 6)))
        elif way in ("refuse", "back_off", "limit", "leave"):
            more = {"refuse": "", "back_off": "Retry-After: 0.2\r\n",
                    "limit": "Server-Limit: 40\r\n",
                    "leave": "Server-Leaving: 1\r\n"}[way]
            answer(writer, 503, b"no", echo + more +
                   "X-Fireflysail-Not-Executed: 1\r\n"
                   "X-Fireflysail-Server-Load: 6,1,6\r\n")
            return True
        elif way == "cut":
            writer.write(chunked + b"1000\r\nid: 1\n")
        elif way == "status":
            answer(writer, pick((100, 204, 304, 418, 500, 999)), b"x", echo)
            return True
        elif way == "long":
            answer(writer, 200, bytes(9 * 1024 * 1024), echo)
        elif way == "twice":
            for _ in range(2):
                answer(writer, 200, b"done", echo)
            return True
        elif way == "bad_chunk":
            writer.write(chunked + b"fffffffffffffffff\r\nid: 1\n\n")
        await writer.drain()
        return False

    async def come_back(self):
        """A new life, at another port, with nothing loaded."""
        self.crash()
        await asyncio.sleep(self.world.random.uniform(0.1, 1.5))
        self.layers = None
        self.born += 1
        await self.start()


class Caller:
    """Sends requests in good and in bad ways until it is told to end."""

    def __init__(self, seed, port):
        self.random = random.Random(seed)
        self.port = port
        self.served = 0
        self.is_over = False

    async def run(self):
        ways = (self.whole, self.whole, self.whole, self.leave, self.slow,
                self.half_closed, self.pipelined, self.big_body, self.garbage)
        while not self.is_over:
            way = self.random.choice(ways)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError,
                                     asyncio.LimitOverrunError, IndexError,
                                     asyncio.TimeoutError, ValueError):
                await asyncio.wait_for(way(), 10)
            await asyncio.sleep(self.random.uniform(0, 0.05))

    def attempt(self):
        return f"{self.random.getrandbits(64):016x}"

    def request(self, path, body=b"", more=""):
        method = "POST" if body else "GET"
        return (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Fireflysail-Attempt-Id: {self.attempt()}\r\n"
                "X-Fireflysail-Token-Counts: 800,60\r\n"
                f"X-Fireflysail-Deadline-Ms: "
                f"{self.random.choice((1, 50, 2000, 10**18))}\r\n"
                f"Content-Length: {len(body)}\r\n{more}"
                "Authorization: Bearer key\r\n\r\n").encode() + body

    def path(self):
        return self.random.choice(("/stream/", "/stream/", "/safe/", "/once/"))

    @contextlib.asynccontextmanager
    async def connection(self):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port)
        try:
            yield reader, writer
        finally:
            if self.random.random() < 0.3:
                # Ends with a reset.
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def whole(self):
        status, _, whole = await ask(
            self.port, self.path(), self.attempt())
        self.served += 1 if status == 200 and whole else 0

    async def leave(self):
        async with self.connection() as (reader, writer):
            writer.write(self.request(self.path()))
            await asyncio.wait_for(
                reader.read(self.random.choice((1, 200, 900))),
                self.random.uniform(0, 0.2))

    async def slow(self):
        async with self.connection() as (reader, writer):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            writer.write(self.request("/stream/"))
            for _ in range(40):
                await reader.read(20)
                await asyncio.sleep(0.02)

    async def half_closed(self):
        async with self.connection() as (reader, writer):
            writer.write(self.request(self.path()))
            writer.write_eof()
            await reader.read()

    async def pipelined(self):
        async with self.connection() as (reader, writer):
            writer.write(b"".join(self.request(self.path())
                                  for _ in range(4)))
            await asyncio.wait_for(reader.read(10**6), 1)

    async def big_body(self):
        body = bytes(self.random.choice((1, 10**5, 3 * 10**6, 5 * 10**6)))
        more = self.random.choice(("", "Expect: 100-continue\r\n"))
        whole = self.request("/safe/", body, more)
        sent = self.random.choice((len(whole), len(whole) // 2, 300))
        async with self.connection() as (reader, writer):
            writer.write(whole[:sent])
            await asyncio.wait_for(reader.read(1000), 1)

    async def garbage(self):
        raw = self.random.choice((
            self.random.randbytes(500), b"GET / HTTP/1.1\r\nA:" + b"b" * 70000,
            b"\r\n\r\n\r\n", b"POST /safe/ HTTP/1.1\r\nHost: shop.example\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"))
        async with self.connection() as (reader, writer):
            writer.write(raw)
            await asyncio.wait_for(reader.read(1000), 0.5)


class Instance:
    def __init__(self, name, zone, folder, world):
        self.name = name
        self.ports = free_ports(4)
        self.node = os.path.join(folder, f"{name}.toml")
        self.errors = os.path.join(folder, f"{name}.err")
        write_node_file(self.node, name, zone, self.ports, world.store_port)
        self.process = None
        self.lines = None

    async def start(self):
        with open(self.errors, "ab") as errors:
            self.process = await asyncio.create_subprocess_exec(
                program(), "relay", "--node-file", self.node,
                stdout=asyncio.subprocess.DEVNULL, stderr=errors)

    def check(self, when):
        with open(self.errors, encoding="utf-8", errors="replace") as file:
            said = file.read()
        expect(not any(word in said for word in SANITIZER_WORDS),
               f"{self.name} {when} said:\n{said[-20000:]}")
        expect(self.process.returncode is None,
               f"{self.name} ended by itself {when}, code "
               f"{self.process.returncode}:\n{said[-3000:]}")

    async def until_ready(self, when):
        for _ in range(int(READY_PATIENCE_S / 0.05)):
            self.check(when)
            if await is_ready(self.ports[1]):
                return
            await asyncio.sleep(0.05)
        expect(False, f"{self.name} is not ready {when}")

    async def until_in_force(self, path):
        for number in range(int(IN_FORCE_PATIENCE_S / 0.05)):
            self.check("at the end")
            status, _, _ = await ask(
                self.ports[0], path, f"{number:08x}{self.ports[0]:08x}")
            if status not in (0, 404):
                return
            await asyncio.sleep(0.05)
        expect(False, f"{self.name} does not know {path}")

    async def stop(self):
        self.check("before its stop")
        self.process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(self.process.wait(), STOP_PATIENCE_S)
        with open(self.errors, encoding="utf-8", errors="replace") as file:
            said = file.read()
        expect(code == 0, f"{self.name} stopped with code {code}:\n"
               f"{said[-20000:]}")

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()


class Copies:
    """Of the store, from the last seconds."""

    def __init__(self, store):
        self.store = store
        self.taken = collections.deque(maxlen=COPIES)

    async def run(self):
        while True:
            self.taken.append(
                (asyncio.get_running_loop().time(), self.store.take_copy()))
            await asyncio.sleep(COPY_EVERY_S)

    def restore(self, age_s):
        until = asyncio.get_running_loop().time() - age_s
        old_enough = [copy for at, copy in self.taken if at <= until]
        chosen = old_enough[-1] if old_enough else self.taken[0][1]
        # Those taken since are of changes that are lost now.
        self.taken.clear()
        self.store.restore(chosen)


def write_again(world, routes):
    world.configure(routes, ["key"])
    for server in world.servers.values():
        server.register()


async def disturb(world, instances, draw, copies):
    """One disturbance after the other until cancelled."""
    async def freeze():
        process = draw.choice(instances).process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(draw.choice((0.2, 1, 4, 8)))
        process.send_signal(signal.SIGCONT)

    async def reload():
        draw.choice(instances).process.send_signal(signal.SIGHUP)

    async def lose_store():
        world.store.down = True
        await asyncio.sleep(draw.choice((0.3, 2, 5)))
        world.store.down = False

    async def silence_store():
        world.store.silent = True
        await asyncio.sleep(draw.choice((0.3, 2, 5)))
        world.store.silent = False

    async def restart_server():
        await draw.choice(list(world.servers.values())).come_back()

    async def configure():
        world.configure(["/stream/"], ["key"])

    async def fault():
        world.fault_share = draw.choice((0, 0.1, 0.3))
        world.break_share = draw.choice((0, 0.01))

    async def restore():
        if not copies.taken:
            return
        world.store.forgets_watches = draw.random() < 0.5
        world.store.down = True
        await asyncio.sleep(draw.uniform(0.3, 1.5))
        copies.restore(draw.uniform(1, 6))
        world.store.down = False
        await asyncio.sleep(draw.uniform(0, 1))
        write_again(world, ["/stream/"])

    ways = [freeze, reload, lose_store, silence_store, restart_server,
            configure, fault]
    if copies:
        ways += [restore] * 4
    while True:
        await asyncio.sleep(draw.uniform(0.05, 0.6))
        with contextlib.suppress(ProcessLookupError):
            await draw.choice(ways)()


def calm(world, instances):
    world.store.down = world.store.silent = False
    world.fault_share = world.break_share = 0.0
    for instance in instances:
        with contextlib.suppress(ProcessLookupError):
            instance.process.send_signal(signal.SIGCONT)


async def live(world, instances, draw, copies):
    """One life of all instances."""
    for instance in instances:
        await instance.start()
    for instance in instances:
        await instance.until_ready("after its start")
    callers = [Caller(draw.getrandbits(32), draw.choice(instances).ports[0])
               for _ in range(CALLERS)]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    tasks.append(asyncio.ensure_future(
        disturb(world, instances, draw, copies)))
    end = asyncio.get_running_loop().time() + draw.choice((1, 5, 15))
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(0.2)
        for instance in instances:
            instance.check("while disturbed")
    tasks[-1].cancel()
    calm(world, instances)
    for instance in instances:
        await instance.until_ready("at the end")
    added = f"/added-{world.version}/"
    write_again(world, ["/stream/", added])
    await asyncio.gather(
        *[instance.until_in_force(added) for instance in instances])
    # Stops under the load.
    await asyncio.gather(*[instance.stop() for instance in instances])
    for caller in callers:
        caller.is_over = True
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    for one in ended:
        if isinstance(one, Exception):
            raise one
    return sum(caller.served for caller in callers)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--instances", type=int, default=2)
    wanted = parser.parse_args()
    draw = random.Random(wanted.seed)
    world = World(wanted.seed, FailingServer)
    await world.start()
    lives = served = 0
    # A source of its own, so that runs without restores draw as before.
    of_store = random.Random(f"store {wanted.seed}")
    copies = Copies(world.store) if of_store.random() < 0.5 else None
    taker = None
    if copies:
        world.store.copy_lag_s = of_store.choice((0.0, 0.8, 3.0))
        taker = asyncio.ensure_future(copies.run())
    with tempfile.TemporaryDirectory() as folder:
        instances = [Instance(f"n{number}", "ab"[number % 2], folder, world)
                     for number in range(wanted.instances)]
        loop = asyncio.get_running_loop()
        end = loop.time() + wanted.seconds
        try:
            while loop.time() < end:
                served += await live(world, instances, draw, copies)
                lives += 1
        finally:
            if taker:
                taker.cancel()
            for instance in instances:
                instance.kill()
    expect(served > 0, "no request was served")
    print(f"disturb_platform: passed, seed {wanted.seed}, {lives} lives of "
          f"{wanted.instances} instances, {served} requests served whole, "
          f"{world.store.era - 1} restores")


asyncio.run(main())
