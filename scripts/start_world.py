"""The fleets of scripts/starts: a world in the platform's formats and the
program's instances, each with a loopback address of its own."""
import asyncio
import contextlib
import dataclasses
import os
import random
import socket
import time

from local_fleet import PORTS, port_range
from platform_world import LAYERS, World

PROGRAM = os.environ.get("FIREFLYSAIL_PROGRAM") or os.path.join(
    os.path.dirname(os.path.abspath(__file__)),
    "../build/release/bin/fireflysail")
METRICS_PORT = 9464
GRACE_S = 8
LOAD_S = 14.0
LOADS_AT_ONCE = 6
# Weights that are loaded before the first request take a tenth of the time.
FIRST_LOADS = 0.1
KINDS = [("a100s", 36000.0, 3.1, 3.2), ("l4", 21600.0, 16.0, 8.2),
         ("t4", 14400.0, 15.0, 15.0)]


@dataclasses.dataclass
class Fleet:
    """Instances and servers of the plain service for each zone, engines for
    each zone by kind."""
    instances: list
    engines: list
    services: int
    ready_s: float
    memory_mb: int


FLEETS = {
    "small": Fleet([3, 3, 2], [(1, 8, 5), (3, 3, 5), (1, 4, 8)], 3, 10,
                   260),
    "large": Fleet([17, 22, 17, 16],
                   [(1, 15, 10), (3, 6, 11), (2, 9, 17), (1, 14, 10)],
                   4, 14, 160),
}


def spread(count, zones):
    return [count // zones + (zone < count % zones) for zone in range(zones)]


def fleet_of(name, instances=None, zones=None, engines=None, services=None):
    """The preset with some of its numbers replaced."""
    fleet = dataclasses.replace(FLEETS[name])
    zones = zones or len(fleet.instances)
    if instances or zones != len(fleet.instances):
        fleet.instances = spread(instances or sum(fleet.instances), zones)
    if engines is not None or zones != len(fleet.engines):
        total = engines or sum(sum(kinds) for kinds in fleet.engines)
        # The kinds in about the same shares.
        fleet.engines = [(count // 8, count * 2 // 5,
                          count - count // 8 - count * 2 // 5)
                         for count in spread(total, zones)]
    fleet.services = services or fleet.services
    return fleet


def zone_name(index):
    return f"zone-{'abcdefgh'[index]}"


class FleetWorld(World):
    def __init__(self, seed, fleet):
        super().__init__(seed)
        self.fleet = fleet
        self.kinds = [{"Name": name, "Mb": megabytes, "pace": pace,
                       "ReadX": read} for name, megabytes, pace, read in KINDS]
        self.loading = 0
        self.listener = None

    async def start(self):
        await self.open_store()
        self.configure(["/stream/"], ["key"])
        for index, kinds in enumerate(self.fleet.engines):
            for (kind, *_), count in zip(KINDS, kinds):
                for number in range(count):
                    zone = zone_name(index)
                    await self.add(f"{zone}-{kind}-{number}", zone, kind)
        for number in range(self.fleet.services):
            zone = zone_name(number % len(self.fleet.engines))
            await self.add(f"desk-{number}", zone, "")

    async def open_store(self, port=0):
        self.listener = await asyncio.start_server(
            self.store.serve, "127.0.0.1", port or free_port(),
            backlog=1000)
        self.store_port = self.listener.sockets[0].getsockname()[1]

    def engines(self):
        return [server for server in self.servers.values()
                if server.accelerator]

    def empty(self):
        """As before the first start: no layers, no traces of instances."""
        for kind in list(self.store.objects):
            if kind not in ("config", "servers"):
                for name in list(self.store.objects[kind]):
                    self.store.remove(kind, name)
        for server in self.engines():
            server.layers = None
            server.orders = 0
            if server.name in self.store.objects["servers"]:
                server.register()

    def load(self, server, layers):
        asyncio.ensure_future(self.load_slowly(server, layers))

    async def load_slowly(self, server, layers):
        self.loading += 1
        share = (layers[1] - layers[0]) / LAYERS
        await asyncio.sleep(LOAD_S * FIRST_LOADS * share *
                            max(1, self.loading / LOADS_AT_ONCE))
        self.loading -= 1
        server.layers = layers
        server.register()


def free_port(count=1):
    """First of ports that are free on all addresses."""
    lowest, highest = port_range()
    while True:
        first = PORTS.randint(lowest, highest - count + 1)
        with contextlib.ExitStack() as kept, contextlib.suppress(OSError):
            for port in range(first, first + count):
                probe = kept.enter_context(socket.socket())
                probe.bind(("0.0.0.0", port))
            return first


def send_signal(process, number):
    # Process.send_signal takes the status from whom waits for it.
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, number)


class Instance:
    """One instance; it may be started again and again."""

    def __init__(self, name, zone, host):
        self.name = name
        self.zone = zone
        self.host = host
        self.process = None
        self.log = ""
        self.started = self.ready = self.asked_to_end = self.ended = None
        self.waiter = None
        self.is_killed = False

    def fields(self, ports, store_port, seeds, memory_mb):
        front, ready, control, first = ports
        zones = "\n".join(f'{zone_name(index)} = "region"'
                          for index in range(4))
        return f"""Node = "{self.name}"
Role = "router"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{self.host}"
Zone = "{self.zone}"
Region = "region"
PortRange = [{first},{first + 15}]
Seeds = [{",".join(f'"{host}:{control}"' for host in seeds)}]
Bootstrap = true
CountsTowardLoss = false
Discovery = "platform"
Entry = "vip"
BeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform","layers"]
[Zones]
{zones}
[Listen]
Front = "{self.host}:{front}"
Ready = "{self.host}:{ready}"
Control = "{self.host}:{control}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = {memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = {GRACE_S}
LossSlackMs = 200
ConfigApplyMs = 2000
BackMs = 250
OuterMs = 5000
RevokeStrict = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 200
RecoverS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 2000
RequireFence = true
[Platform]
Address = "127.0.0.1:{store_port}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""

    async def launch(self, settings, log, **how):
        """`how` may replace parts of how the platform starts the program."""
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        command = [PROGRAM, "relay", "--node-file", settings,
                   "--metrics-port", str(METRICS_PORT)]
        self.log = log
        self.started = time.monotonic()
        self.ready = self.asked_to_end = self.ended = None
        self.is_killed = False
        with open(log, "ab") as output:
            how = {"stdout": output, "stderr": output, "env": environment,
                   "stdin": asyncio.subprocess.DEVNULL} | how
            self.process = await asyncio.create_subprocess_exec(
                *command, **how)
        self.waiter = asyncio.ensure_future(self.watch(self.process))

    async def watch(self, process):
        await process.wait()
        if process is self.process:
            self.ended = time.monotonic()

    def runs(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.runs():
            send_signal(self.process, number)

    def ask_to_end(self, number):
        self.asked_to_end = self.asked_to_end or time.monotonic()
        self.send(number)

    async def says_ready(self, port):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, port)
                writer.write(b"GET /fireflysail/readiness HTTP/1.1\r\n"
                             b"Host: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def peak_memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="utf-8") as file:
                return max((int(line.split()[1]) // 1024 for line in file
                            if line.startswith("VmHWM")), default=0)
        except OSError:
            return 0

    def last_line(self):
        try:
            with open(self.log, "rb") as file:
                file.seek(max(0, os.path.getsize(self.log) - 4000))
                lines = file.read().decode(errors="replace").splitlines()
                return lines[-1][:400] if lines else "(no output)"
        except OSError:
            return "(no log)"
