"""A small deployment on loopback for the scripts of this review: the program as
the deploy file starts it, in the project's own small world of the platform.

Settings are those of a site of today (wire page of surtitle-fleet)."""
import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path.insert(0, os.path.join(ROOT, "scripts"))
from local_fleet import free_ports  # noqa: E402
from platform_world import Server, Store, World, answer, is_ready  # noqa: E402,F401

PROGRAM = os.path.join(ROOT, "target", "bin", "fireflysail")
GRACE_S = 8
START_PATIENCE_S = 25

# Exit codes of a script.
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

NODE_FILE = """\
Node = "{name}"
Role = "router"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "region"
PortRange = [{ports[3]},{ports[3]}]
Seeds = ["127.0.0.1:{ports[2]}"]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
BeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","platform","layers"]
[Listen]
Front = "127.0.0.1:{ports[0]}"
Ready = "127.0.0.1:{ports[1]}"
Control = "127.0.0.1:{ports[2]}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
ReuseAfterS = 2
ContactMs = 3000
DrainMs = 2000
GraceS = {grace}
LossSlackMs = 200
ConfigApplyMs = 2000
BackMs = 250
OuterMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 200
RecoverS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 2000
RequireFence = true
[Platform]
Address = "127.0.0.1:{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
"""


def trouble():
    """Whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def note(self, what):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {what}\n")
        self.file.flush()


class Relay:
    """One process of the program, and its settings."""

    def __init__(self, folder, name, zone, store_port):
        self.folder = folder
        self.name = name
        self.ports = free_ports(5)
        self.node = os.path.join(folder, f"{name}.toml")
        with open(self.node, "w", encoding="utf-8") as file:
            file.write(NODE_FILE.format(
                name=name, zone=zone, ports=self.ports, grace=GRACE_S,
                store=store_port))
        self.process = None

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", "/"),
                       "LANG": os.environ.get("LANG", "C"),
                       "FIREFLYSAIL_NODE_FILE": self.node}
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "relay", "--metrics-port", str(self.ports[4]),
            stdout=log, stderr=log, env=environment, cwd=ROOT)
        log.close()

    async def ready(self):
        for _ in range(START_PATIENCE_S * 20):
            if await is_ready(self.ports[1]):
                return True
            await asyncio.sleep(0.05)
        return False

    def send_signal(self, number):
        # It may have ended meanwhile.
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self):
        if self.process:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


async def post_stream(port, path, attempt, on_event, key="key",
                      deadline_ms=20000, body=b"prompt"):
    """One stream on a new channel. Returns status, the ids of its events and
    whether the answer was complete."""
    ids = []
    status = 0
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write((
            f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Fireflysail-Attempt-Id: {attempt}\r\n"
            "X-Fireflysail-Model: m\r\n"
            "X-Fireflysail-Token-Counts: 800,60\r\n"
            f"X-Fireflysail-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        header = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(header.split(" ")[1])
        if "transfer-encoding: chunked" not in header:
            length = [line.split(":")[1] for line in header.split("\r\n")
                      if line.startswith("content-length")]
            await reader.readexactly(int(length[0]))
            return status, ids, True
        text = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            text += (await reader.readexactly(size + 2))[:size]
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                ids.append(int(event.split(b"\n")[0].split(b":")[1]))
                on_event(ids[-1])
            if size == 0:
                return status, ids, True
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return status, ids, False
    finally:
        if writer:
            writer.close()


def run(folder, play):
    """Plays in a temporary folder and exits with the script's code."""
    if not os.access(PROGRAM, os.X_OK):
        print(f"{PROGRAM} is missing: build first", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    record = Record(folder)

    async def all_of_it():
        # Whoever ends the script ends what it started.
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        with tempfile.TemporaryDirectory() as place:
            return await asyncio.wait_for(play(place, record), 110)
    try:
        code = asyncio.run(all_of_it())
    except (Exception, asyncio.CancelledError) as failed:
        record.note(f"cannot run: {failed!r}")
        print(f"cannot run: {failed!r}", file=sys.stderr)
        code = CANNOT_RUN
    record.note({HELD: "the rule held", BROKEN: "the rule was broken",
                 CANNOT_RUN: "not run"}[code])
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "not run"}[code])
    sys.exit(code)
