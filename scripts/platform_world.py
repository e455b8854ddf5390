"""A small world in the users' platform's formats, for tests of the program.

A store with objects, conditions and watches; model engines that hold layers
and take orders; a plain service. Faults are switched on by the test.
"""
import asyncio
import bisect
import contextlib
import json
import os
import random
import socket
import struct
import subprocess
import sys
import time

LAYERS = 80
EVENTS = 30
EVENT_PAUSE_S = 0.004


async def read_request(reader):
    header = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = header.split("\r\n")
    method, target, _ = lines[0].split(" ")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return method, target, fields, body


def answer(writer, status, body=b"", more=""):
    head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n")
    writer.write(head.encode() + body)


class RewritingWriter:
    """Changes the bodies of whole answers; ports must keep their length."""

    def __init__(self, writer, rewrite):
        self.writer = writer
        self.rewrite = rewrite

    def write(self, data):
        self.writer.write(self.rewrite(data))

    def __getattr__(self, name):
        return getattr(self.writer, name)


class Link:
    """A writer of a connection between an instance and the store, whose
    answers may be lost."""

    def __init__(self, store, name, writer):
        self.store = store
        self.name = name
        self.writer = writer
        self.is_silent = False
        self.serving = None

    def write(self, data):
        if not self.is_silent and self.name not in self.store.loses_answers:
            self.writer.write(data)

    def close(self):
        if not self.is_silent:
            self.writer.close()

    def __getattr__(self, name):
        return getattr(self.writer, name)


class Store:
    """Linearizable, but for calls with Serializable, which are answered from a
    copy that is `copy_lag_s` old, also after it lost what it acknowledged: see
    `restore`."""

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.objects = {}
        # (time, revision, kind, event)
        self.events = []
        self.down = False
        self.copy_lag_s = 0.0
        # Called with each request before it is handled: False closes the
        # connection, None stands for an answer of its own.
        self.gate = None
        self.changed = asyncio.Event()
        self.lists = {}
        self.silent = False
        # (end, era, events) of the eras before.
        self.past = []
        # A watch that waits while the store comes back is closed, or never
        # told of anything.
        self.forgets_watches = False
        # Of the listeners of single instances, see `serve_for`.
        self.links = set()
        # Instances whose requests are handled but not answered.
        self.loses_answers = set()
        # Instances whose connections are closed.
        self.cut_off = set()

    def take_copy(self):
        """Objects and events are replaced, never changed."""
        return (self.revision,
                {kind: dict(known) for kind, known in self.objects.items()},
                list(self.events))

    def restore(self, taken):
        """Comes back from the copy, which serves once: what was written since
        is gone, and its revisions are given out again."""
        self.past.append((time.monotonic(), self.era, self.events))
        self.revision, self.objects, self.events = taken
        self.lists.clear()
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, writer, status, body=b"", era=None):
        answer(writer, status, body, f"Store-Era: {era or self.era}\r\n")

    def put(self, kind, name, spec):
        self.revision += 1
        stored = {"Metadata": {"Name": name, "Revision": self.revision},
                  "Spec": spec, "Status": None}
        self.objects.setdefault(kind, {})[name] = stored
        self.note(kind, {"Object": stored, "Deleted": False})
        return stored

    def remove(self, kind, name):
        self.revision += 1
        stored = self.objects[kind].pop(name)
        self.note(kind, {"Object": stored, "Deleted": True})

    def note(self, kind, event):
        self.events.append((time.monotonic(), self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def serve_view(self, servers):
        """As `serve`, for an instance that is told the second address of each
        server."""
        def rewrite(body):
            for server in servers.values():
                body = body.replace(b"127.0.0.1:%d\"" % server.port,
                                    b"127.0.0.1:%d\"" % server.second_port)
            return body

        async def serve(reader, writer):
            await self.serve(reader, RewritingWriter(writer, rewrite))
        return serve

    def serve_for(self, name):
        """As `serve`, for one instance, which disturbances may hit alone."""
        async def serve(reader, writer):
            if name in self.cut_off:
                writer.close()
                return
            link = Link(self, name, writer)
            link.serving = asyncio.ensure_future(self.serve(reader, link))
            self.links.add(link)
            try:
                await link.serving
                while link.is_silent and await reader.read(65536):
                    pass
            except ConnectionError:
                pass
            self.links.discard(link)
            writer.close()
        return serve

    def silence(self, names):
        """Connections that these instances have now swallow all that they are
        sent, for good; new ones work."""
        for link in self.links:
            if link.name in names and not link.is_silent:
                link.is_silent = True
                link.serving.cancel()

    def cut(self, names):
        """Closes the connections of these instances until they are no longer
        in `cut_off`."""
        self.cut_off.update(names)
        for link in self.links:
            if link.name in names:
                link.writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                while self.silent:
                    await asyncio.sleep(0.02)
                if self.down:
                    break
                goes_on = not self.gate or await self.gate(writer, request)
                if goes_on is None:
                    continue
                if not goes_on:
                    break
                await self.handle(writer, *request)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError):
            pass
        writer.close()

    async def handle(self, writer, method, target, _fields, body):
        path, _, query = target.partition("?")
        asked = dict(part.split("=") for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind = parts[0]
        known = self.objects.get(kind, {})
        lag_s = self.copy_lag_s if asked.get("Serializable") == "1" else 0.0
        if method == "GET" and "Watch" in asked:
            await self.watch(writer, kind, int(asked["Watch"]),
                             int(asked["WaitMs"]) / 1000, lag_s)
        elif method == "GET" and len(parts) == 1:
            body = self.list(kind, lag_s)
            self.answer(writer, 200, body, self.shown(lag_s)[0])
        elif method == "GET":
            found = known.get(parts[1])
            self.answer(writer, 200 if found else 404,
                        json.dumps(found or {}).encode())
        elif method == "DELETE":
            self.delete(writer, kind, known, parts[1], asked)
        else:
            self.write(writer, method, kind, known, json.loads(body))

    async def watch(self, writer, kind, after, wait_s, lag_s):
        era = self.shown(lag_s)[0]
        if after > self.revision:
            self.answer(writer, 410, b"{}", era)
            return
        end = time.monotonic() + wait_s
        seen, events = await self.changes(kind, after, end, lag_s)
        if self.down or self.shown(lag_s)[0] != era:
            if self.forgets_watches:
                await asyncio.sleep(max(0, end - time.monotonic()))
            writer.close()
            return
        self.answer(writer, 200, json.dumps(
            {"events": events, "AsOf": seen}).encode(), era)

    def shown(self, lag_s):
        """The era, the revision and the events that an answer shows."""
        if lag_s == 0:
            return self.era, self.revision, self.events
        until = time.monotonic() - lag_s
        era, events = next(((era, events) for end, era, events in self.past
                            if until < end), (self.era, self.events))
        return era, max((revision for at, revision, _, _ in events
                         if at <= until), default=10), events

    def list(self, kind, lag_s):
        era, seen, events = self.shown(lag_s)
        if self.lists.get(kind, (0, b""))[0] != (era, seen):
            items = {}
            for _, revision, of, event in events:
                if of == kind and revision <= seen:
                    name = event["Object"]["Metadata"]["Name"]
                    items.pop(name, None)
                    if not event["Deleted"]:
                        items[name] = event["Object"]
            self.lists[kind] = ((era, seen), json.dumps(
                {"Items": list(items.values()), "HasMore": False,
                 "AsOf": seen}).encode())
        return self.lists[kind][1]

    async def changes(self, kind, after, end, lag_s):
        before = self.shown(lag_s)[0]
        while True:
            era, seen, known = self.shown(lag_s)
            first = bisect.bisect_right(
                known, after, key=lambda event: event[1])
            events = [event for _, revision, of, event in known[first:]
                      if of == kind and revision <= seen]
            left = end - time.monotonic()
            if events or self.down or era != before or left <= 0:
                return seen, events
            # A store that goes down or a copy that catches up tells nobody.
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), min(left, 0.1 if lag_s else 0.5))

    def write(self, writer, method, kind, known, wanted):
        name = wanted["Metadata"]["Name"]
        found = known.get(name)
        expected = wanted["Metadata"].get("Revision")
        taken = method == "POST" and found is not None
        changed = method == "PUT" and (
            found is None or found["Metadata"]["Revision"] != expected)
        if taken or changed:
            self.answer(writer, 409, json.dumps(found or {}).encode())
            return
        stored = self.put(kind, name, wanted["Spec"])
        self.answer(writer, 200, json.dumps(stored).encode())

    def delete(self, writer, kind, known, name, asked):
        found = known.get(name)
        is_other = found and "Revision" in asked and (
            found["Metadata"]["Revision"] != int(asked["Revision"]))
        if not found or is_other:
            self.answer(writer, 409 if found else 404,
                        json.dumps(found or {}).encode())
            return
        self.remove(kind, name)
        self.answer(writer, 200, b"{}")


class SilentableWriter:
    """Keeps what is written while its connection is silent, and sends it
    after that, as the retransmissions of a link that comes back would."""

    def __init__(self, writer):
        self.writer = writer
        self.kept = None

    def write(self, data):
        if self.kept is None:
            self.writer.write(data)
        else:
            self.kept.append(data)

    def reset(self):
        # Without it, a close ends the connection in order.
        self.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def silence(self):
        self.kept = []
        self.writer.transport.pause_reading()

    def end_silence(self):
        kept, self.kept = self.kept or [], None
        self.writer.write(b"".join(kept))
        self.writer.transport.resume_reading()

    def __getattr__(self, name):
        return getattr(self.writer, name)


def hold_port(port):
    """Refuses connections; without it the system may give the port to an
    outgoing one meanwhile."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", port))
    return holder


def fill_backlog(holder):
    """Further connections to the held port get no answer while the sockets
    returned are open."""
    holder.listen(0)
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(holder.getsockname())
    return fillers


class Server:
    """An engine if it has an accelerator, else a server of the plain service."""

    def __init__(self, world, name, zone, accelerator):
        self.world = world
        self.name = name
        self.zone = zone
        self.accelerator = accelerator
        self.service = "model" if accelerator else "desk"
        self.state = "ready"
        self.layers = None
        self.orders = 0
        # Of the last order that was not refused.
        self.fence = 0
        self.born = 1000
        self.listener = None
        self.writers = set()
        self.second = None
        self.second_port = None
        self.second_writers = set()
        # The way in which it is cut now.
        self.second_cut = None
        self.blocking = []
        self.ran = []
        # Health checks and reports take this long.
        self.answer_s = 0.0
        # As that of the store.
        self.gate = None

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.register()

    async def open_second(self):
        """A second address, which may be cut off by itself; ends its cut."""
        self.second_cut = None
        for blocker in self.blocking:
            blocker.close()
        self.blocking.clear()
        self.second = await asyncio.start_server(
            self.serve_second, "127.0.0.1", self.second_port or 0)
        self.second_port = self.second.sockets[0].getsockname()[1]
        for writer in list(self.second_writers):
            writer.end_silence()

    async def serve_second(self, reader, writer):
        silentable = SilentableWriter(writer)
        self.second_writers.add(silentable)
        # A connection that was accepted just before the cut.
        self.cut_connection(silentable)
        await self.serve(reader, silentable)
        self.second_writers.discard(silentable)

    def cut_second(self, way):
        """Open connections are reset ("reset"), go silent ("hang") or live on
        ("live on"); new ones get no answer with "hang", else are refused."""
        self.second_cut = way
        self.second.close()
        self.blocking = [hold_port(self.second_port)]
        if way == "hang":
            self.blocking += fill_backlog(self.blocking[0])
        for writer in list(self.second_writers):
            self.cut_connection(writer)

    def cut_connection(self, writer):
        if self.second_cut == "reset":
            writer.reset()
        elif self.second_cut == "hang":
            writer.silence()

    def register(self):
        entry = {"Service": self.service,
                 "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                 "Version": "v1", "Slots": 192 if self.accelerator else 6,
                 "State": self.state, "Sequence": 1, "born": self.born}
        if self.accelerator:
            entry["Kind"] = self.accelerator
            entry["Layers"] = self.held()
        self.world.store.put("servers", self.name, entry)

    def held(self):
        if not self.layers:
            return []
        return [{"From": self.layers[0], "Target": self.layers[1],
                 "Version": 1}]

    def crash(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if self.gate and not await self.gate(writer, request):
                    break
                if not await self.handle(writer, *request):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, ValueError):
            # A request that cannot be read ends its connection.
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, writer, _method, target, fields, body):
        if target in ("/fireflysail/report", "/health"):
            await asyncio.sleep(self.answer_s)
        if target == "/fireflysail/report":
            answer(writer, 200, json.dumps(
                {"Sequence": self.orders, "Busy": False, "born": self.born,
                 "Layers": self.held()}).encode())
            return True
        if target == "/health":
            answer(writer, 200)
            return True
        if target == "/fireflysail/order":
            self.take_order(writer, json.loads(body))
            return True
        attempt = fields["x-fireflysail-attempt-id"]
        echo = f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
        if fields.get("x-fireflysail-expect-instance") != self.name:
            answer(writer, 421, b"", echo)
            return True
        self.ran.append((attempt, fields))
        if self.accelerator:
            return await self.stream(writer, fields, echo)
        await asyncio.sleep(0.005)
        answer(writer, 200, b"done",
               echo + "X-Fireflysail-Server-Stamp: s\r\n")
        return True

    def take_order(self, writer, order):
        if order["Fence"] < self.fence:
            self.world.fenced_orders += 1
            answer(writer, 412)
            return
        self.fence = order["Fence"]
        self.orders += 1
        answer(writer, 202)
        self.world.load(self, (order["From"], order["Target"]))

    async def restart(self):
        """Loses what it held and knew; under the id and port that it had."""
        self.crash()
        self.layers = None
        self.orders = 0
        self.fence = 0
        self.born += 1
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)
        self.register()

    async def stream(self, writer, fields, echo):
        covered = 0
        for part in fields["x-fireflysail-hop-count"].split(","):
            first, last = part.split("=")[1].split("-")
            if int(first) != covered:
                self.world.broken.append(fields["x-fireflysail-hop-count"])
            covered = int(last)
        if covered != LAYERS:
            self.world.broken.append(fields["x-fireflysail-hop-count"])
        writer.write((
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}"
            "X-Fireflysail-Server-Stamp: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(fields.get("last-event-id", "0")) + 1,
                            EVENTS + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            chunk = f"{len(event):x}\r\n".encode() + event
            if self.world.random.random() < self.world.break_share:
                writer.write(chunk[:12])
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(chunk + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.world.event_pause_s)
        writer.write(b"0\r\n\r\n")
        return True


class World:
    def __init__(self, seed, server_type=Server):
        self.random = random.Random(seed)
        self.server_type = server_type
        self.store = Store()
        self.servers = {}
        self.broken = []
        # Refused for a fence that is too low.
        self.fenced_orders = 0
        self.break_share = 0.0
        self.event_pause_s = EVENT_PAUSE_S
        self.fault_share = 0.0
        self.version = 1
        self.kinds = [{"Name": "large", "Mb": 72000.0, "pace": 3.1,
                       "ReadX": 3.2}]
        self.plain_services = ["desk"]
        # (prefix, kind, service)
        self.plain_routes = [("/safe/", "safe", "desk"),
                             ("/once/", "unsafe", "desk")]
        self.limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}

    async def start(self):
        listener = await asyncio.start_server(
            self.store.serve, "127.0.0.1", 0)
        self.store_port = listener.sockets[0].getsockname()[1]
        self.configure(["/stream/"], ["key"])
        for zone in ("a", "b"):
            for number in range(4):
                await self.add(f"engine-{zone}{number}", zone, "large")
            for service in self.plain_services:
                await self.add(f"{service}-{zone}", zone, "", service)

    async def add(self, name, zone, accelerator, service=None):
        server = self.server_type(self, name, zone, accelerator)
        server.service = service or server.service
        self.servers[name] = server
        await self.servers[name].start()

    def load(self, server, layers):
        server.layers = layers
        server.register()

    def configure(self, stream_prefixes, keys):
        self.version += 1
        routes = [{"Name": f"r{prefix}", "Host": "shop.example",
                   "PathPrefix": prefix, "Kind": "streaming",
                   "TimeoutMs": 20000, "GoalMs": 500, "GapTargetMs": 200,
                   "Service": "model", "MaxAttempts": 2, "Resumable": True,
                   "Sticky": True} for prefix in stream_prefixes]
        for prefix, kind, service in self.plain_routes:
            routes.append({"Name": f"r{prefix}", "Host": "shop.example",
                           "PathPrefix": prefix, "Kind": kind,
                           "TimeoutMs": 2000, "GoalMs": 150,
                           "Service": service, "MaxAttempts": 2})
        engine = {"Slots": 192, "KvTokenBytes": 426000, "step_ms": 0.85,
                  "read_per_s": 272000.0, "loads_at_once": 6,
                  "Layers": LAYERS, "LayerMb": 1750.0, "ActBytes": 21300,
                  "usual": {"prompt": 772, "answer": 60}, "delays": [],
                  "Models": [{"Name": "m", "LoadS": 14.0}],
                  "Kinds": self.kinds}
        self.store.put("config", "main", {
            "Version": self.version, "Routes": routes,
            "Services": [{"Name": "model", "HealthPath": "/health",
                          "MaxConns": 978, "Engine": engine}]
                        + [{"Name": service, "HealthPath": "/health",
                            "MaxConns": 110}
                           for service in self.plain_services],
            "Limits": self.limits,
            "Tenants": [{"Name": "team", "ApiKeys": keys}]})


async def ask(port, path, attempt, key="key", method="GET",
              host="127.0.0.1"):
    """Status, body and whether the answer was whole; status 0: none."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write((
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
            "X-Fireflysail-Model: m\r\n"
            "X-Fireflysail-Token-Counts: 800,60\r\n"
            "X-Fireflysail-Deadline-Ms: 20000\r\n"
            f"Authorization: Bearer {key}\r\n\r\n").encode())
        header = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(header.split(" ")[1])
        body = b""
        if "transfer-encoding: chunked" in header:
            size = None
            while size != 0:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += (await reader.readexactly(size + 2))[:size]
        else:
            length = [line.split(":")[1] for line in header.split("\r\n")
                      if line.startswith("content-length")]
            body = await reader.readexactly(int(length[0]))
        return status, body, True
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, b"", False
    finally:
        if writer:
            writer.close()


def program():
    """The program to run: FIREFLYSAIL_PROGRAM, or the release build's."""
    built = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                         "../build/release/bin/fireflysail")
    return os.environ.get("FIREFLYSAIL_PROGRAM", built)


def earlier_program(commit):
    """The program of a commit, built if need be, or of a path. Ends the process
    as build_earlier does if it cannot be built."""
    if os.path.exists(commit):
        return commit
    script = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                          "build_earlier")
    built = subprocess.run([script, commit], stdout=subprocess.PIPE, text=True)
    if built.returncode != 0:
        sys.exit(built.returncode)
    return built.stdout.strip()


def write_node_file(path, name, zone, ports, store_port):
    """Ports of callers, readiness, control and, if there is one more, notices
    of other instances."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(
            f'Node = "{name}"\nZone = "{zone}"\nRegion = "r"\n'
            + (f"PortRange = [{ports[3]}, {ports[3]}]\n" if ports[3:] else "")
            + f'[Listen]\nFront = "127.0.0.1:{ports[0]}"\n'
            f'Ready = "127.0.0.1:{ports[1]}"\n'
            f'Control = "127.0.0.1:{ports[2]}"\n[Platform]\n'
            f'Address = "127.0.0.1:{store_port}"\n')


async def is_ready(port):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /fireflysail/readiness HTTP/1.1\r\n"
                     b"Host: x\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        return b" 200 " in line
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return False
