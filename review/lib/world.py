"""Stand-ins of the platform for the review: the store, servers of a plain
service, callers, and the program itself with the command of the deploy file."""
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
KEY = "key-of-the-team"
DRAIN_MS = 2000
CONFIG_APPLY_MS = 2000
CONTACT_MS = 3000
PORTS = random.SystemRandom()


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **facts):
        words = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{self.now():9.3f} {what} {words}\n")

    def close(self):
        self.file.close()


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


def free_port(host):
    """Below the range that Linux gives to outgoing connections."""
    while True:
        port = PORTS.randint(20000, 32000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


def own_host(metrics_port):
    """A loopback address of its own for each process of the program, since
    the deploy file gives the port of its metrics."""
    while True:
        host = "127." + ".".join(str(PORTS.randint(2, 250)) for _ in range(3))
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, metrics_port))
            return host


class Listener:
    """Serves requests on kept connections; close() ends all of them."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.port = 0

    async def listen(self):
        self.port = free_port("127.0.0.1")
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await read_request(reader)
                if not await self.handle(writer, *request):
                    break
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, writer, method, target, fields, body):
        raise NotImplementedError


class Store(Listener):
    """Linearizable, but for calls with Serializable, which are answered from a
    copy that is copy_lag_s old."""

    def __init__(self, record, copy_lag_s=0.0):
        super().__init__()
        self.record = record
        self.copy_lag_s = copy_lag_s
        self.revision = 100
        # Text that stands on the wire in place of a marked value.
        self.raw = {}
        # (time, revision, kind, object, deleted)
        self.history = []
        self.objects = {}

    def encode(self, document):
        text = json.dumps(document)
        for mark, raw in self.raw.items():
            text = text.replace(json.dumps(mark), raw)
        return text.encode()

    def put(self, kind, name, spec):
        self.revision += 1
        stored = {"Metadata": {"Name": name, "Revision": self.revision,
                               "CreatedRev": self.revision, "Finalizers": [],
                               "Deleting": False},
                  "Spec": spec, "Status": None}
        self.objects.setdefault(kind, {})[name] = stored
        self.history.append(
            (time.monotonic(), self.revision, kind, stored, False))
        self.record.add("store_confirms", kind=kind, name=name,
                        revision=self.revision)
        return stored

    def remove(self, kind, name):
        self.revision += 1
        stored = self.objects[kind].pop(name)
        self.history.append(
            (time.monotonic(), self.revision, kind, stored, True))
        self.record.add("store_removes", kind=kind, name=name,
                        revision=self.revision)

    def seen(self, is_copy):
        """The part of the history that an answer shows."""
        until = time.monotonic() - (self.copy_lag_s if is_copy else 0)
        return [change for change in self.history if change[0] <= until]

    async def handle(self, writer, method, target, fields, body):
        path, _, query = target.partition("?")
        asked = dict(part.split("=") for part in query.split("&") if part)
        parts = path.split("/")[3:]
        is_copy = asked.get("Serializable") == "1"
        kind = parts[0]
        if method == "GET" and "Watch" in asked:
            answer(writer, 200, self.encode(await self.changes(
                kind, int(asked["Watch"]), int(asked["WaitMs"]) / 1000,
                is_copy)))
        elif method == "GET" and len(parts) == 1:
            items = {}
            changes = self.seen(is_copy)
            for _, _, of, stored, deleted in changes:
                if of == kind:
                    items.pop(stored["Metadata"]["Name"], None)
                    if not deleted:
                        items[stored["Metadata"]["Name"]] = stored
            answer(writer, 200, self.encode(
                {"Items": list(items.values()), "HasMore": False,
                 "AsOf": changes[-1][1] if changes else 100}))
        elif method == "GET":
            found = self.objects.get(kind, {}).get(parts[1])
            answer(writer, 200 if found else 404,
                   self.encode(found or {}))
        else:
            self.write(writer, method, kind, parts, asked,
                       json.loads(body) if body else {})
        return True

    async def changes(self, kind, after, wait_s, is_copy):
        end = time.monotonic() + wait_s
        while True:
            seen = self.seen(is_copy)
            events = [{"Object": stored, "Deleted": deleted}
                      for _, revision, of, stored, deleted in seen
                      if revision > after and of == kind]
            if events or time.monotonic() >= end:
                return {"events": events,
                        "AsOf": seen[-1][1] if seen else 100}
            await asyncio.sleep(0.01)

    def write(self, writer, method, kind, parts, asked, wanted):
        name = parts[1] if len(parts) > 1 else wanted["Metadata"]["Name"]
        found = self.objects.get(kind, {}).get(name)
        expected = wanted.get("Metadata", {}).get(
            "Revision", int(asked["Revision"]) if "Revision" in asked else None)
        if method == "POST":
            is_refused = found is not None
        else:
            is_refused = found is None or (
                expected is not None and
                found["Metadata"]["Revision"] != expected)
        if is_refused:
            answer(writer, 409 if found else 404,
                   self.encode(found or {}))
        elif method == "DELETE":
            self.remove(kind, name)
            answer(writer, 200, b"{}")
        else:
            answer(writer, 200, self.encode(
                self.put(kind, name, wanted["Spec"])))


class Desk(Listener):
    """A server of the plain service. Runs what names it, once it is read."""

    def __init__(self, record, store, name, service="desk", work_s=0.02):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.work_s = work_s
        self.ran = []

    async def start(self):
        await self.listen()
        self.register("ready")

    def register(self, state):
        self.store.put("servers", self.name, {
            "Service": self.service, "Address": f"127.0.0.1:{self.port}",
            "Zone": "a", "Version": "v1", "Slots": 64, "State": state,
            "ColdLeftMs": 0, "Sequence": 1, "born": 1000})

    async def handle(self, writer, method, target, fields, body):
        if target == "/health":
            answer(writer, 200, more=f"X-Fireflysail-Instance-Id: {self.name}"
                                     "\r\n")
            return True
        attempt = fields.get("x-fireflysail-attempt-id", "")
        echo = f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
        if fields.get("x-fireflysail-expect-instance") != self.name:
            answer(writer, 421, more=echo)
            return True
        self.ran.append((time.monotonic(), attempt))
        self.record.add("runs", server=self.name, request=attempt,
                        path=target,
                        workspace=fields.get("x-fireflysail-tenant"))
        await asyncio.sleep(self.work_s)
        answer(writer, 200, f"done by {self.service}".encode(),
               echo + "X-Fireflysail-Server-Stamp: "
                      f"{self.name}.{attempt}\r\nKeep-Alive: timeout=10\r\n")
        return True


class Link(Listener):
    """A proxy in front of a port that can lose track of connections, as a
    middlebox does: nothing more passes on them, and nobody is told. New ones
    work."""

    def __init__(self, record, to_port):
        super().__init__()
        self.record = record
        self.to_port = to_port
        # Connections that pass: their last traffic and what was asked last.
        self.passing = {}

    def forget_idle(self, idle_s):
        """Loses the connections that were idle for this long."""
        now = time.monotonic()
        lost = [entry for entry, (heard, _) in self.passing.items()
                if now - heard >= idle_s]
        for entry in lost:
            _, asked = self.passing.pop(entry)
            self.record.add("connection_goes_silent", last=asked)
        return len(lost)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.to_port)
        except OSError:
            writer.close()
            return
        entry = object()
        self.passing[entry] = (time.monotonic(), "")
        self.writers |= {writer, far_writer}

        async def pass_on(source, sink, is_request):
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65536):
                    if entry not in self.passing:
                        continue
                    asked = self.passing[entry][1]
                    if is_request:
                        asked = data.split(b" HTTP")[0].decode(
                            errors="replace").replace(" ", "_")
                    self.passing[entry] = (time.monotonic(), asked)
                    sink.write(data)
                    await sink.drain()
            if entry in self.passing:
                sink.close()
        await asyncio.gather(pass_on(reader, far_writer, True),
                             pass_on(far_reader, writer, False))
        self.passing.pop(entry, None)
        for each in (writer, far_writer):
            each.close()
            self.writers.discard(each)

    async def handle(self, writer, method, target, fields, body):
        raise NotImplementedError


def settings_text(node, host, ports, store_address):
    front, ready, control, first = ports
    return f"""Node = "{node}"
Role = "router"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{host}"
Zone = "a"
Region = "r"
PortRange = [{first},{first + 15}]
Seeds = ["{host}:{control}"]
Bootstrap = true
BeatIntervalMs = 1200
[Zones]
a = "r"
[Listen]
Front = "{host}:{front}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
MaxFds = 4100
[Bounds]
ContactMs = {CONTACT_MS}
DrainMs = {DRAIN_MS}
GraceS = 8
ConfigApplyMs = {CONFIG_APPLY_MS}
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 200
RecoverS = 12
stall_ms = 2000
RequireFence = true
[Platform]
Address = "{store_address}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
"""


class Relay:
    """The program, started as the deploy file says."""

    def __init__(self, record, folder, node, store_address, ports=None):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        self.words = role["run"].split()
        metrics_port = int(role["metrics"].split("/")[0])
        self.record = record
        self.node = node
        self.host = own_host(metrics_port)
        self.ports = ports or [free_port(self.host) for _ in range(4)]
        self.settings = os.path.join(folder, f"{node}.toml")
        self.log = os.path.join(folder, f"{node}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings_text(node, self.host, self.ports,
                                     store_address))
        self.process = None

    async def start(self):
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FIREFLYSAIL_NODE_FILE"] = self.settings
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.words, cwd=ROOT, env=environment, stdout=log,
                stderr=log)
        self.record.add("starts", instance=self.node)

    def send(self, number):
        self.record.add("signal", instance=self.node,
                        signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.ports[1]), 1)
            writer.write(b"GET /fireflysail/readiness HTTP/1.1\r\n"
                         b"Host: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        return False

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.add("ready", instance=self.node)
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Caller:
    """Sends requests, each on a new connection, and records the answers."""

    def __init__(self, record, relay):
        self.record = record
        self.relay = relay
        self.random = random.Random(29)
        self.sent = {}
        self.through = {}
        self.answers = {}

    async def ask(self, path, method="POST", key=KEY, limit_ms=2500,
                  relay=None):
        relay = relay or self.relay
        attempt = f"{self.random.getrandbits(64):016x}"
        self.sent[attempt] = (time.monotonic(), path, method, key)
        self.through[attempt] = relay.node
        self.record.add("sends", request=attempt, path=path, key=key,
                        to=relay.node)
        status, body = 0, b""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                relay.host, relay.ports[0]), 1)
            writer.write((
                f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
                f"X-Fireflysail-Deadline-Ms: {limit_ms}\r\n"
                f"Authorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
            ).encode())
            header = (await asyncio.wait_for(reader.readuntil(
                b"\r\n\r\n"), limit_ms / 1000 + 1)).decode().lower()
            lengths = [line.split(":")[1] for line in header.split("\r\n")
                       if line.startswith("content-length")]
            body = await reader.readexactly(int(lengths[0]))
            status = int(header.split(" ")[1])
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
            pass
        if writer:
            writer.close()
        self.answers[attempt] = (time.monotonic(), status, body)
        self.record.add("answered", request=attempt, status=status,
                        body=body.decode(errors="replace").strip()
                        .replace(" ", "_"))
        return status, body

    async def keep_asking(self, path, stop):
        """Asks on one kept connection until it closes or `stop` is set; counts
        what was closed without an answer."""
        reader, writer = await asyncio.open_connection(
            self.relay.host, self.relay.ports[0])
        try:
            while not stop.is_set():
                attempt = f"{self.random.getrandbits(64):016x}"
                self.sent[attempt] = (time.monotonic(), path, "POST", KEY)
                self.record.add("sends", request=attempt, path=path,
                                to=self.relay.node, on="kept_connection")
                writer.write((
                    f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
                    "X-Fireflysail-Deadline-Ms: 2500\r\n"
                    f"Authorization: Bearer {KEY}\r\n"
                    "Content-Length: 0\r\n\r\n").encode())
                header = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = next(line.split(":")[1]
                              for line in header.split("\r\n")
                              if line.startswith("content-length"))
                body = await reader.readexactly(int(length))
                status = int(header.split(" ")[1])
                self.answers[attempt] = (time.monotonic(), status, body)
                self.record.add("answered", request=attempt, status=status)
                if "connection: close" in header:
                    break
        except (asyncio.IncompleteReadError, OSError):
            self.answers[attempt] = (time.monotonic(), 0, b"")
            self.record.add("closed_without_an_answer", request=attempt)
        writer.close()

    async def steady(self, paths, per_s, until):
        """Asks for the paths in turn until the moment that `until` names."""
        running = set()
        number = 0
        while time.monotonic() < until:
            task = asyncio.ensure_future(self.ask(paths[number % len(paths)]))
            running.add(task)
            task.add_done_callback(running.discard)
            number += 1
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*running)


    async def in_turn(self, relays, paths, per_s, stop, key=KEY):
        """Asks each instance in turn for each path until `stop` is set."""
        running = set()
        number = 0
        while not stop.is_set():
            task = asyncio.ensure_future(self.ask(
                paths[number // len(relays) % len(paths)], key=key,
                relay=relays[number % len(relays)]))
            running.add(task)
            task.add_done_callback(running.discard)
            number += 1
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*running)


def route(prefix, kind, service, **more):
    return {"Name": f"r{prefix}", "Host": "shop.example",
            "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 2000,
            "GoalMs": 150, "Service": service, "MaxAttempts": 2,
            "Priority": 1, **more}


def configuration(version, routes, services=("desk",), keys=(KEY,)):
    return {
        "Version": version, "Routes": routes,
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 110}
                     for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "team", "ApiKeys": list(keys)}]}


def handled_as_before(caller, confirmed, dropped_key, moved_path, old_body):
    """Requests sent later than ConfigApplyMs after the confirmation that ran
    with the key that was taken away, or at the old service."""
    late = []
    for attempt, (sent, path, _, key) in caller.sent.items():
        _, status, body = caller.answers[attempt]
        is_old = status == 200 and (
            key == dropped_key or (path == moved_path and body == old_body))
        if sent > confirmed + CONFIG_APPLY_MS / 1000 and is_old:
            late.append((sent - confirmed, attempt, path, key))
    return late


def report_as_before(record, caller, late):
    """Exit code of a case about the configuration."""
    for after, attempt, path, key in late:
        record.add("handled_as_before", request=attempt, path=path, key=key,
                   through=caller.through[attempt],
                   sent_after_confirmation_s=f"{after:.3f}")
    moved = sum(path == "/moved/x" for _, _, path, _ in late)
    through = sorted({caller.through[attempt] for _, attempt, _, _ in late})
    last = max((after for after, *_ in late), default=0)
    summary = (f"sent {len(caller.sent)}, later than ConfigApplyMs handled as "
               f"before: {moved} by the old service, {len(late) - moved} with "
               f"the key that was taken away, the last {last:.3f} s after the "
               f"confirmation, through {through}")
    record.add("summary", text=summary)
    print(summary)
    if not any(status == 200 and body == b"done by office"
               for _, status, body in caller.answers.values()):
        return 2
    return 1 if late else 0


def play(case_file, script):
    """Runs a case; returns its exit code: 1 broken, 0 held, 2 not run."""
    folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(folder)

    async def run():
        # A case that is stopped still ends the processes that it started.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            return await asyncio.wait_for(script(record, scratch), 110)
    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        code = 2
    record.add("exit", code=code)
    record.close()
    return code
