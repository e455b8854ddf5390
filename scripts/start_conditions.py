"""What the machines of a fleet meet when they start and stop."""
import asyncio
import signal
import socket
import time

from start_world import send_signal

CONDITIONS = {}
# Disturbances in the start last this long at most.
DISTURBED_S = 3.0


def condition(kind):
    CONDITIONS[kind.name] = kind
    return kind


class Condition:
    """Parts of a round that a condition may replace."""
    name = ""
    what = ""
    # Readiness counts from the start of the instance, not of the fleet.
    own_start = False

    def fleet(self, fleet):
        return fleet

    async def prepare(self, run):
        pass

    async def before(self, run):
        pass

    def write_settings(self, run, instance, path):
        with open(path, "w", encoding="utf-8") as file:
            file.write(run.settings_text(instance))

    def spawn(self, run, instance):
        return {}

    async def start(self, run, instance):
        await run.launch(instance)
        await run.wait_ready(instance)

    async def during(self, run):
        """Runs beside the start."""

    async def serve(self, run):
        await asyncio.sleep(1.0)

    async def stop(self, run):
        await run.stop_all(run.random.choice([0.0, 2.0]))

    async def after(self, run):
        pass

    async def close(self, run):
        pass


@condition
class Plain(Condition):
    name = "plain"
    what = "nothing special"


@condition
class Alone(Condition):
    name = "alone"
    what = "one instance alone"

    def fleet(self, fleet):
        fleet.instances = [1, 0, 0]
        return fleet


@condition
class Odd(Condition):
    name = "odd"
    what = "an odd number of instances"

    def fleet(self, fleet):
        fleet.instances = [2, 1, 2]
        return fleet


@condition
class LastLate(Condition):
    name = "last_late"
    what = "one instance starts seconds after all others"
    own_start = True

    async def start(self, run, instance):
        if instance is run.instances[-1]:
            await asyncio.sleep(run.random.uniform(1, 8))
        await super().start(run, instance)


class StoreCondition(Condition):
    """The store is disturbed in the first seconds."""

    async def before(self, run):
        self.store = run.world.store
        self.store.gate = self.gate

    async def gate(self, writer, request):
        """As Store.gate."""
        raise NotImplementedError

    async def during(self, run):
        await asyncio.sleep(run.random.uniform(0.5, DISTURBED_S))
        run.world.store.gate = None


@condition
class StoreSlow(StoreCondition):
    name = "store_slow"
    what = "the store answers after 400 ms, for the whole round"

    async def gate(self, writer, request):
        await asyncio.sleep(0.4)
        return True

    async def during(self, run):
        pass


@condition
class StoreSlower(StoreSlow):
    name = "store_slower"
    what = "the store answers after 2.2 s, for the whole round"

    async def gate(self, writer, request):
        await asyncio.sleep(2.2)
        return True


@condition
class StoreSilent(StoreCondition):
    name = "store_silent"
    what = "the store accepts and says nothing in the first seconds; what was \
asked then gets no answer"

    async def gate(self, writer, request):
        await asyncio.sleep(60)
        return False


@condition
class StoreBusy(StoreCondition):
    name = "store_busy"
    what = "the store answers 503 in the first seconds"

    async def gate(self, writer, request):
        self.store.answer(writer, 503)
        await writer.drain()


@condition
class StoreResets(StoreCondition):
    name = "store_resets"
    what = "the store resets each connection in the first seconds"

    async def gate(self, writer, request):
        writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        writer.transport.abort()
        return False


@condition
class StoreGarbles(StoreCondition):
    name = "store_garbles"
    what = "the store's answers are cut off or no JSON in the first seconds"

    async def gate(self, writer, request):
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n{\"Items\":[")
        await writer.drain()
        return False


@condition
class StoreClosed(Condition):
    name = "store_closed"
    what = "nothing listens at the store's port in the first seconds"

    async def before(self, run):
        run.world.listener.close()

    async def during(self, run):
        await asyncio.sleep(run.random.uniform(0.5, DISTURBED_S))
        await run.world.open_store(run.world.store_port)


@condition
class NoConfiguration(Condition):
    name = "no_configuration"
    what = "the first configuration is written some seconds after the start"

    async def before(self, run):
        if "main" in run.world.store.objects["config"]:
            run.world.store.remove("config", "main")

    async def during(self, run):
        await asyncio.sleep(run.random.uniform(0.5, DISTURBED_S))
        run.world.configure(["/stream/"], ["key"])


@condition
class CopyLags(Condition):
    name = "copy_lags"
    what = "the store's copies are up to 4 s behind"

    async def before(self, run):
        run.world.store.copy_lag_s = run.random.uniform(0.5, 4)


@condition
class RateLimit(StoreCondition):
    name = "rate_limit"
    what = "the store takes few calls a second in the first seconds and \
answers 429 beyond"

    async def before(self, run):
        await super().before(run)
        self.second = self.calls = 0

    async def gate(self, writer, request):
        if int(time.monotonic()) != self.second:
            self.second, self.calls = int(time.monotonic()), 0
        method, target, *_ = request
        if method != "GET" or "Serializable" not in target:
            self.calls += 1
        if self.calls <= 12:
            return True
        self.store.answer(writer, 429)
        await writer.drain()
        return None


@condition
class ForeignEntries(Condition):
    name = "foreign_entries"
    what = "entries of other writers: of other types, missing fields, large"

    async def before(self, run):
        store = run.world.store
        deep = []
        for _ in range(400):
            deep = [deep]
        kinds = [kind for kind in store.objects if kind != "config"]
        for kind in kinds:
            for number, spec in enumerate([
                    None, 1, "text", [], {}, {"Service": 7}, deep,
                    {"Service": "model", "Address": "nowhere", "Layers": {}},
                    {"Service": "model", "Address": "127.0.0.1:99999",
                     "Zone": None, "Slots": -5, "born": 1e300},
                    {"Service": "desk", "Address": "127.0.0.1:1",
                     "Zone": "zone-a", "State": "ready", "Slots": 2 ** 70},
                    {"Service": "model", "Address": "127.0.0.1:1",
                     "Zone": "zone-a", "State": "ready", "Slots": 1,
                     "Kind": "l4", "born": 1,
                     "Layers": [{"From": -3, "Target": 1e9, "Version": "x"}]},
                    "\u0000\ud800", "x" * 300000]):
                store.put(kind, f"foreign-{number}", spec)

    async def after(self, run):
        store = run.world.store
        for kind in store.objects:
            for name in list(store.objects[kind]):
                if name.startswith("foreign-"):
                    store.remove(kind, name)


@condition
class Killed(Condition):
    name = "killed"
    what = "all were killed: leases and entries of before are still there, " \
           "the engines hold their layers or none"

    async def before(self, run):
        for engine in run.world.engines():
            if run.random.random() < 0.3:
                engine.layers = None
                engine.register()

    async def serve(self, run):
        await asyncio.sleep(run.random.uniform(0.1, 1.0))

    async def stop(self, run):
        for instance in run.instances:
            instance.asked_to_end = time.monotonic()
            instance.send(signal.SIGKILL)
            await instance.process.wait()
            instance.is_killed = True


@condition
class Overlap(Condition):
    name = "overlap"
    what = "each starts again while its predecessor still stops"
    own_start = True

    async def start(self, run, instance):
        await run.launch(instance)
        await run.wait_ready(instance)
        if not instance.runs():
            return
        before, waiter = instance.process, instance.waiter
        send_signal(before, signal.SIGTERM)
        await asyncio.sleep(run.random.uniform(0, 1.5))
        await run.launch(instance)
        await run.wait_ready(instance)
        await waiter
        if before.returncode != 0:
            run.fault(instance, "status", f"{before.returncode} of the "
                      "predecessor")


@condition
class EnginesLater(Condition):
    name = "engines_later"
    what = "engines come one by one, are slow to answer, some leave again"

    async def before(self, run):
        for server in run.world.engines():
            server.layers = None
            server.answer_s = run.random.uniform(0, 1.5)
            run.world.store.remove("servers", server.name)

    async def during(self, run):
        engines = run.world.engines()
        run.random.shuffle(engines)
        for number, server in enumerate(engines):
            await asyncio.sleep(run.random.uniform(0, 8 / len(engines)))
            server.register()
            if number % 8 == 7:
                run.world.store.remove("servers", engines[number - 3].name)

    async def after(self, run):
        for server in run.world.engines():
            server.answer_s = 0.0
            server.register()


@condition
class NoEngines(Condition):
    name = "no_engines"
    what = "no engine is there in the start"

    async def before(self, run):
        for server in run.world.engines():
            server.layers = None
            if server.name in run.world.store.objects["servers"]:
                run.world.store.remove("servers", server.name)

    async def after(self, run):
        for server in run.world.engines():
            server.register()


class PortTaken(Condition):
    """Another socket of the machine has a port in the first seconds."""
    kind = socket.SOCK_STREAM

    def port(self, run):
        raise NotImplementedError

    def take(self, run, instance):
        taken = socket.socket(socket.AF_INET, self.kind)
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind((instance.host, self.port(run)))
        if self.kind == socket.SOCK_STREAM:
            taken.listen()
        return taken

    async def before(self, run):
        self.taken = [self.take(run, instance) for instance in
                      run.random.sample(run.instances,
                                        max(1, len(run.instances) // 4))]

    async def during(self, run):
        await asyncio.sleep(run.random.uniform(0.3, DISTURBED_S))
        for taken in self.taken:
            taken.close()


@condition
class MetricsPortTaken(PortTaken):
    name = "metrics_port_taken"
    what = "another process listens at the port of the metrics at first"

    def port(self, run):
        return 9464


@condition
class FrontPortTaken(PortTaken):
    name = "front_port_taken"
    what = "another process listens at the callers' port at first"

    def port(self, run):
        return run.ports[0]


@condition
class ReadyPortTaken(PortTaken):
    name = "ready_port_taken"
    what = "another process listens at the port of the readiness at first"

    def port(self, run):
        return run.ports[1]


@condition
class NoticePortTaken(PortTaken):
    name = "notice_port_taken"
    what = "the first port of PortRange is taken at first (UDP)"
    kind = socket.SOCK_DGRAM

    def port(self, run):
        return run.ports[3]


@condition
class OutgoingOnMetricsPort(PortTaken):
    name = "outgoing_on_metrics_port"
    what = "an outgoing connection of another process has the metrics port"

    def take(self, run, instance):
        taken = socket.socket()
        # Closed without TIME_WAIT, so that the next round can take it again.
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                         b"\1\0\0\0\0\0\0\0")
        taken.bind((instance.host, 9464))
        taken.connect(("127.0.0.1", run.world.store_port))
        return taken
