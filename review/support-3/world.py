"""Stand-ins for the cases: the platform's store, engines, plain servers and
consumers, as the pages describe them. Loopback only, one event loop."""
import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
LAYERS = 80
LAYER_MB = 1750.0
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"

# Figures of a small deployment (9 instances, three zones).
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "BackMs": 250, "OuterMs": 5000,
    "RevokeStrict": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10, "BudgetSlack": 202, "RecoverS": 12, "PassMs": 120,
    "RetryAfterS": 0, "stall_ms": 2000, "RequireFence": True}


class CannotRun(Exception):
    """The case could not be played: exit 2."""


def stall_s():
    return BOUNDS["stall_ms"] / 1000


class Record:
    """What was sent, answered and run; one line an event."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def note(self, what, **facts):
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{at:8.3f} {what} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader):
    first, fields = await read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return method, target, fields, body


def respond(writer, status, body=b"", more=""):
    writer.write((f"HTTP/1.1 {status} X\r\n{more}"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


class Listener:
    """Accepts connections until it is closed; then resets those it has."""

    def __init__(self):
        self.listener = None
        self.writers = set()
        self.port = 0

    async def listen(self, host="127.0.0.1", port=0):
        # Below the ports that the system gives to outgoing connections: those
        # could take the port of a server that is down for a while.
        self.port = port or free_ports([host], 1)[0]
        self.listener = await asyncio.start_server(
            self.accept, host, self.port, limit=1 << 20)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(
                asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, ValueError, asyncio.LimitOverrunError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def crash(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """Linearizable. Keeps its whole history; a watch from a revision that it
    does not have gets 410."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 1000
        self.era = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.writes_of_system = 0

    # What the operator and the servers do.
    def put(self, kind, name, spec):
        known = self.objects.get(kind, {}).get(name)
        if known and known["Spec"] == spec:
            return known
        self.revision += 1
        stored = {"Metadata": {
            "Name": name, "Revision": self.revision,
            "CreatedRev": (known["Metadata"]["CreatedRev"] if known
                           else self.revision),
            "Finalizers": [], "Deleting": False},
            "Spec": spec, "Status": None}
        self.objects.setdefault(kind, {})[name] = stored
        self.tell(kind, {"Object": stored, "Deleted": False})
        return stored

    def remove(self, kind, name):
        if name in self.objects.get(kind, {}):
            self.revision += 1
            stored = self.objects[kind].pop(name)
            self.tell(kind, {"Object": stored, "Deleted": True})

    def tell(self, kind, event):
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    # The drill.
    def take_copy(self):
        return copy.deepcopy((self.revision, self.objects, self.events))

    def go_down(self):
        """No answer any more, and no new connections."""
        self.crash()

    async def come_back(self, kept):
        self.revision, self.objects, self.events = copy.deepcopy(kept)
        self.era += 1
        await self.listen(port=self.port)

    async def serve(self, reader, writer):
        while True:
            method, target, _, body = await read_request(reader)
            await asyncio.sleep(0.004)
            await self.handle(writer, method, target, body)
            await writer.drain()

    def reply(self, writer, status, document):
        respond(writer, status, json.dumps(document).encode(),
                "Content-Type: application/json\r\n"
                f"Store-Era: {self.era}\r\n")

    async def handle(self, writer, method, target, body):
        path, _, query = target.partition("?")
        asked = dict(part.split("=") for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind = parts[0]
        known = self.objects.get(kind, {})
        if method == "GET" and "Watch" in asked:
            await self.watch(writer, kind, int(asked["Watch"]),
                             int(asked["WaitMs"]) / 1000)
        elif method == "GET" and len(parts) == 1:
            self.reply(writer, 200, {"Items": list(known.values()),
                                     "HasMore": False, "AsOf": self.revision})
        elif method == "GET":
            found = known.get(parts[1])
            self.reply(writer, 200 if found else 404, found or {})
        elif method == "DELETE":
            self.delete(writer, kind, parts[1], asked.get("Revision"))
        else:
            self.write(writer, method, kind, parts[1:], json.loads(body))

    def write(self, writer, method, kind, named, wanted):
        name = wanted["Metadata"]["Name"] if method == "POST" else named[0]
        found = self.objects.get(kind, {}).get(name)
        expected = wanted["Metadata"].get("Revision")
        if method == "PUT" and not found:
            self.reply(writer, 404, {})
            return
        is_other = found and (
            method == "POST" or
            (expected and expected != found["Metadata"]["Revision"]))
        if is_other:
            self.reply(writer, 409, found)
            return
        self.writes_of_system += 1
        self.record.note("system_writes", kind=kind, name=name,
                         revision=self.revision + 1, spec=wanted["Spec"])
        self.reply(writer, 200, self.put(kind, name, wanted["Spec"]))

    def delete(self, writer, kind, name, expected):
        found = self.objects.get(kind, {}).get(name)
        if not found or (expected and
                         int(expected) != found["Metadata"]["Revision"]):
            self.reply(writer, 409 if found else 404, found or {})
            return
        self.remove(kind, name)
        self.reply(writer, 200, {})

    async def watch(self, writer, kind, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if after > self.revision:
                self.reply(writer, 410, {})
                return
            events = [event for revision, of, event in self.events
                      if of == kind and revision > after]
            left = end - time.monotonic()
            if events or left <= 0:
                self.reply(writer, 200,
                           {"events": events, "AsOf": self.revision})
                return
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Server(Listener):
    """One server of a plain service."""

    slots = 6

    def __init__(self, world, name, service, zone):
        super().__init__()
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.work_s = 0.03

    async def start(self):
        await self.listen()
        self.register()

    def entry(self):
        return {"Service": self.service, "Address": f"127.0.0.1:{self.port}",
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": self.state, "ColdLeftMs": 0, "Sequence": 1,
                "born": self.born}

    def register(self):
        self.world.store.put("servers", self.name, self.entry())

    async def serve(self, reader, writer):
        while True:
            method, target, fields, body = await read_request(reader)
            if target == "/health":
                respond(writer, 200, b"",
                        f"X-Fireflysail-Instance-Id: {self.name}\r\n")
            elif not await self.handle(writer, method, target, fields, body):
                return
            await writer.drain()

    def echo(self, fields):
        attempt = fields.get("x-fireflysail-attempt-id", "")
        return (f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
                f"X-Fireflysail-Server-Load: {self.running},0,{self.slots}"
                "\r\nKeep-Alive: timeout=10\r\n")

    def is_for_another(self, writer, fields):
        wanted = fields.get("x-fireflysail-expect-instance", self.name)
        if wanted == self.name:
            return False
        respond(writer, 421, b"", self.echo(fields) +
                "X-Fireflysail-Not-Executed: 1\r\n")
        return True

    async def handle(self, writer, method, target, fields, body):
        if self.is_for_another(writer, fields):
            return True
        attempt = fields["x-fireflysail-attempt-id"]
        self.world.note_run(self, attempt)
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        text = f"{self.name} {attempt}".encode()
        head = self.echo(fields) + "X-Fireflysail-Server-Stamp: s.1\r\n"
        if method == "HEAD":
            writer.write((f"HTTP/1.1 200 X\r\n{head}"
                          f"Content-Length: {len(text)}\r\n\r\n").encode())
        else:
            respond(writer, 200, text, head)
        return True


class Engine(Server):
    """A model engine: holds layers, takes orders, streams events."""

    slots = 192
    load_s = 14.0
    prefill_s = 0.02
    events = 30
    event_pause_s = 0.02

    def __init__(self, world, name, service, zone, mb):
        super().__init__(world, name, service, zone)
        self.mb = mb
        self.layers = None
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.alive = True

    def entry(self):
        found = super().entry()
        found.update({"Kind": "large", "Layers": self.held()})
        return found

    def held(self):
        if not self.layers:
            return []
        return [{"From": self.layers[0], "Target": self.layers[1],
                 "Version": 1}]

    async def handle(self, writer, method, target, fields, body):
        if target == "/fireflysail/report":
            respond(writer, 200, json.dumps({
                "Stage": "both", "Busy": self.busy, "Sequence": self.orders,
                "Queued": 0, "Running": self.running, "KvUsed": 0,
                "KvTotal": 9000000, "Handles": 0, "pace": 1.0,
                "born": self.born, "Stalled": [],
                "Layers": self.held()}).encode())
            return True
        if target == "/fireflysail/order":
            self.take_order(writer, fields, json.loads(body))
            return True
        if self.is_for_another(writer, fields):
            return True
        return await self.stream(writer, fields)

    def take_order(self, writer, fields, order):
        if self.is_for_another(writer, fields):
            return
        status = 202
        if order.get("Fence", 0) < self.fence:
            status = 412
        elif order.get("Precondition", self.orders) != self.orders:
            status = 409
        elif self.layers == (order["From"], order["Target"]):
            status = 200
        self.world.record.note(
            "order", server=self.name, layers=f"{order['From']}-"
            f"{order['Target']}", fence=order.get("Fence"), answer=status)
        if status != 412:
            self.fence = max(self.fence, order.get("Fence", 0))
        respond(writer, status)
        if status == 202:
            self.orders += 1
            self.busy = True
            asyncio.ensure_future(
                self.load((order["From"], order["Target"])))

    async def load(self, layers):
        share = (layers[1] - layers[0]) / LAYERS
        # Loads before the first request take a tenth of the time.
        await asyncio.sleep(self.load_s * share / 10)
        self.layers = layers
        self.busy = False
        self.register()

    def path_of(self, fields):
        """The engines that the request passes through, in order."""
        by_address = {f"127.0.0.1:{server.port}": server
                      for server in self.world.servers.values()}
        path = []
        for part in fields.get("x-fireflysail-hop-count", "").split(","):
            address, layers = part.split("=")
            first, last = layers.split("-")
            path.append((by_address.get(address), int(first), int(last)))
        return path

    async def stream(self, writer, fields):
        path = self.path_of(fields)
        for server, first, last in path:
            holds = server and server.layers and (
                server.layers[0] <= first and last <= server.layers[1])
            if not holds:
                respond(writer, 421, b"", self.echo(fields) +
                        "X-Fireflysail-Not-Executed: 1\r\n")
                return True
        attempt = fields["x-fireflysail-attempt-id"]
        born = [server.born for server, _, _ in path]
        self.running += 1
        try:
            await asyncio.sleep(self.prefill_s)
            begins = int(fields.get("last-event-id", "0")) + 1
            for number in range(begins, self.events + 1):
                await asyncio.sleep(self.pause_before(attempt, number))
                if number == begins:
                    self.on_first_token(path, fields)
                lost = [server for (server, _, _), boot in zip(path, born)
                        if not server.alive or server.born != boot]
                if self in lost:
                    writer.transport.abort()
                    return False
                if lost:
                    # What depends on a lost engine stalls, then ends.
                    await asyncio.sleep(stall_s())
                    if number > begins:
                        writer.transport.abort()
                        return False
                    respond(writer, 503, b"", self.echo(fields) +
                            "X-Fireflysail-Not-Executed: 1\r\n"
                            f"At-Server: 127.0.0.1:{lost[0].port}\r\n")
                    return True
                if number == begins:
                    self.world.note_run(self, attempt)
                    writer.write((
                        "HTTP/1.1 200 X\r\n"
                        "Content-Type: text/event-stream\r\n"
                        f"{self.echo(fields)}"
                        "X-Fireflysail-Server-Stamp: s.1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n").encode())
                event = f"id: {number}\ndata: token\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
        finally:
            self.running -= 1
        writer.write(b"0\r\n\r\n")
        return True

    def on_first_token(self, path, fields):
        """For engines that a request makes crash."""

    def crash_for(self, after_s):
        """Crashes; starts again later, empty, under the id that it had."""
        self.world.record.note("engine_crashes", server=self.name)
        self.alive = False
        self.crash()
        self.layers = None
        asyncio.ensure_future(self.come_back(after_s))

    async def come_back(self, after_s):
        await asyncio.sleep(min(after_s, 3.6))
        # Three intervals of silence.
        self.world.store.remove("servers", self.name)
        await asyncio.sleep(max(0, after_s - 3.6))
        self.born = int(time.time() * 1000)
        self.orders = 0
        self.fence = 0
        self.busy = False
        await self.listen(port=self.port)
        self.alive = True
        self.register()
        self.world.record.note("engine_is_back", server=self.name)

    def pause_before(self, attempt, number):
        return self.event_pause_s


class World:
    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.servers = {}
        self.runs = []
        self.version = 0
        self.routes = []
        self.services = []
        self.keys = [KEY]

    def note_run(self, server, attempt):
        self.runs.append((time.monotonic(), server.service, server.name,
                          attempt))
        self.record.note("runs", server=server.name, service=server.service,
                         attempt=attempt)

    async def add(self, server):
        self.servers[server.name] = server
        await server.start()
        return server

    def add_model(self, name):
        self.services.append({
            "Name": name, "HealthPath": "/health", "MaxConns": 978,
            "Engine": {
                "Slots": 192, "KvTokenBytes": 426000, "step_ms": 0.85,
                "per_seq_ms": 0.01, "context_per_k": 0.01, "chunk": 512,
                "read_per_s": 272000.0, "loads_at_once": 6,
                "Layers": LAYERS, "LayerMb": LAYER_MB, "ActBytes": 21300,
                "usual": {"prompt": 772, "answer": 150}, "delays": [],
                "report_lag_ms": 300,
                "Models": [{"Name": "m0", "LoadS": 14.0}],
                "Kinds": [{"Name": "large", "Mb": 72000.0, "pace": 3.1,
                           "ReadX": 3.2}]}})

    def add_plain(self, name):
        self.services.append(
            {"Name": name, "HealthPath": "/health", "MaxConns": 110})

    def route(self, name, prefix, kind, service, **more):
        self.routes = [old for old in self.routes if old["Name"] != name]
        self.routes.append({
            "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
            "Service": service, "MaxAttempts": 2, "TimeoutMs": 1200,
            "GoalMs": 150, "Priority": 1, **more})

    def configure(self):
        """The operator sends the configuration; the store confirms it."""
        self.version += random.randint(1, 3)
        spec = {"Version": self.version,
                "Routes": copy.deepcopy(self.routes),
                "Services": copy.deepcopy(self.services),
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576,
                           "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
                "Tenants": [{"Name": "hule930", "Priority": 1,
                             "ApiKeys": list(self.keys)}]}
        stored = self.store.put("config", "main", spec)
        self.record.note("operator_confirmed", version=self.version,
                         revision=stored["Metadata"]["Revision"])
        return time.monotonic()


def free_ports(hosts, count):
    """Ports that are free at all of these addresses."""
    found = []
    for _ in range(2000):
        port = random.randint(20000, 31000)
        if port in found:
            continue
        with contextlib.ExitStack() as held:
            try:
                for host in hosts:
                    probe = held.enter_context(socket.socket())
                    probe.bind((host, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Relays:
    """The project's program, one process an instance, each at a loopback
    address of its own."""

    def __init__(self, world, zones, bounds=None):
        self.world = world
        net = f"127.{random.randint(60, 220)}.{random.randint(1, 250)}"
        self.hosts = [f"{net}.{number + 10}" for number in range(len(zones))]
        self.zones = zones
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.ports = free_ports(self.hosts, 4)
        self.folder = tempfile.mkdtemp(prefix="fireflysail-case-")
        self.processes = {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        self.command = role["run"].split(" ")

    def settings(self, number):
        front, ready, control, peer = self.ports
        host = self.hosts[number]
        zones = sorted(set(self.zones))
        seeds = ", ".join(f'"{each}:{control}"' for each in self.hosts[:3])
        bounds = "\n".join(
            f"{name} = {json.dumps(value)}"
            for name, value in self.bounds.items())
        of_zones = "\n".join(f'{zone} = "cairo-south"' for zone in zones)
        return f"""Node = "edge-{self.zones[number]}-{number}"
Role = "router"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{host}"
Zone = "{self.zones[number]}"
Region = "cairo-south"
PortRange = [{peer},{peer}]
Seeds = [{seeds}]
Bootstrap = true
CountsTowardLoss = false
Discovery = "platform"
Entry = "vip"
BeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[Zones]
{of_zones}
[Listen]
Front = "{host}:{front}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
{bounds}
[Platform]
Address = "127.0.0.1:{self.world.store.port}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""

    async def start(self, number):
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the program is not built")
        path = os.path.join(self.folder, f"settings-{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(number))
        log = open(os.path.join(self.folder, f"log-{number}.txt"), "ab")
        passed = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                  if name in os.environ}
        self.processes[number] = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            env={**passed, "FIREFLYSAIL_NODE_FILE": path})
        log.close()
        self.world.record.note("starts", instance=number,
                               pid=self.processes[number].pid)

    async def start_all(self):
        for number in range(len(self.hosts)):
            await self.start(number)
        for number in range(len(self.hosts)):
            await self.until_ready(number)

    async def is_ready(self, number):
        try:
            reader, writer = await asyncio.open_connection(
                self.hosts[number], self.ports[1])
            writer.write(b"GET /fireflysail/readiness HTTP/1.1\r\n"
                         b"Host: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self, number, patience_s=25):
        end = time.monotonic() + patience_s
        while not await self.is_ready(number):
            if time.monotonic() > end:
                raise CannotRun(f"instance {number} is not ready")
            await asyncio.sleep(0.1)
        self.world.record.note("ready", instance=number)

    def send(self, number, what):
        self.world.record.note("signal", instance=number, signal=what.name)
        self.processes[number].send_signal(what)

    async def stop_all(self):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        # The whole answer came, as its framing says.
        self.whole = False
        self.error = ""


async def read_answer(reader, method="GET"):
    """One answer off a channel."""
    got = Answer()
    try:
        first, got.fields = await read_head(reader)
        if not first.startswith("HTTP/1.1 "):
            got.error = f"no status line: {first[:60]!r}"
            return got
        got.status = int(first.split(" ")[1])
        if method == "HEAD" or got.status in (204, 304):
            got.whole = True
        elif "chunked" in got.fields.get("transfer-encoding", ""):
            size = None
            while size != 0:
                size = int(await reader.readuntil(b"\r\n"), 16)
                got.body += (await reader.readexactly(size + 2))[:size]
            got.whole = True
        else:
            got.body = await reader.readexactly(
                int(got.fields.get("content-length", "0")))
            got.whole = True
    except asyncio.IncompleteReadError as error:
        got.error = "the channel ended"
        got.body += error.partial if got.status else b""
    except (ConnectionError, OSError, ValueError) as error:
        got.error = repr(error)
    return got


def request_text(path, attempt, method="GET", body=b"", key=KEY, more="",
                 deadline_ms=2500):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
            f"X-Fireflysail-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {key}\r\n{more}{length}\r\n"
            ).encode() + body


def new_attempt():
    return f"{random.getrandbits(64):016x}"


async def ask(host, port, path, method="GET", body=b"", key=KEY, more="",
              deadline_ms=2500, attempt=None):
    """One request on a new channel."""
    attempt = attempt or new_attempt()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1)
        writer.write(request_text(path, attempt, method, body, key, more,
                                  deadline_ms))
        return await asyncio.wait_for(
            read_answer(reader, method), deadline_ms / 1000 + 0.5)
    except (ConnectionError, OSError, asyncio.TimeoutError) as error:
        got = Answer()
        got.error = repr(error)
        return got
    finally:
        if writer:
            writer.close()


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, case, limit_s=115):
    """Plays one case; ends the process with its result."""
    record = Record(folder)

    async def whole():
        # An end by a signal ends the instances as well.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(record)
        await world.store.listen()
        relays = []
        try:
            return await asyncio.wait_for(
                case(world, relays, record), limit_s)
        finally:
            for fleet in relays:
                await fleet.stop_all()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    shutil.copytree(fleet.folder, keep, dirs_exist_ok=True)
                fleet.remove_folder()

    try:
        broken = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as error:
        # A fault of the script is no broken rule.
        record.note("cannot_run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.note("result", broken=broken)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
