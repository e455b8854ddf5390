"""Starts stand-ins and entry instances on loopback, for the demo, the smoke
test and the soak. Ends only the processes that it started."""

import hashlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
MODEL = "dress-advisor"
LAYERS = 32
# Of ports that the system does not give to outgoing connections.
MOST_PORTS = 12000
LAST_PORT = 32000
PORTS = random.SystemRandom()
READY_LIMIT_S = 30
ADMIN_CREDENTIAL = "operators-secret-of-the-demo"
PEER_KEY = "key-that-the-instances-share"


def binary(name, preset="release"):
    return os.path.join(ROOT, "build", preset, "bin", name)


def port_range():
    """Below the range that the system gives to outgoing connections, of which
    one may take a port before the program that is to listen there starts."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range",
                  encoding="utf-8") as file:
            last = int(file.read().split()[0]) - 1
    except OSError:
        last = LAST_PORT
    # Where the range leaves too few below it, some are taken out of it.
    last = last if last > 2 * MOST_PORTS else LAST_PORT
    return last - MOST_PORTS, last


def free_ports(count):
    """Ports that are free now on all addresses, as some listeners use them
    all; all are held until the last is found."""
    first, last = port_range()
    held = []
    while len(held) < count:
        probe = socket.socket()
        try:
            probe.bind(("0.0.0.0", PORTS.randint(first, last)))
        except OSError:
            probe.close()
            continue
        held.append(probe)
    ports = [probe.getsockname()[1] for probe in held]
    for probe in held:
        probe.close()
    return ports


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def call(port, method, path, body=None, headers=None, timeout=30):
    """One HTTP call; returns (status, headers, body text)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = None if body is None else (
            body if isinstance(body, (str, bytes)) else json.dumps(body))
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


def stream_completion(port, key, body, on_event=None, timeout=60):
    """Streams a completion; returns (status, text, terminal, token times)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    text, terminal, times = "", None, []
    try:
        connection.request(
            "POST", "/v1/completions", json.dumps({**body, "stream": True}),
            {"Authorization": f"Bearer {key}",
             "Content-Type": "application/json"})
        answer = connection.getresponse()
        if answer.status != 200:
            return answer.status, answer.read().decode(), None, times
        event = None
        for raw in answer:
            line = raw.decode().rstrip("\n")
            if line.startswith("event: "):
                event = line[7:]
            elif line.startswith("data: "):
                data = line[6:]
                if data == "[DONE]":
                    terminal = "done"
                elif event == "error":
                    terminal = json.loads(data)["error"]
                else:
                    choice = json.loads(data)["choices"][0]
                    if choice["finish_reason"] is not None:
                        continue
                    times.append(time.monotonic())
                    text += choice["text"]
                    if on_event:
                        on_event(len(times))
            elif not line:
                event = None
        return 200, text, terminal, times
    except (OSError, http.client.HTTPException) as error:
        return 0, text, {"code": "connection", "message": str(error)}, times
    finally:
        connection.close()


class Process:
    """A process of the fleet, with its log kept in the fleet's folder."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = os.path.join(folder, name + ".log")
        self.child = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def kill(self):
        if self.alive():
            self.child.kill()
            self.child.wait()

    def terminate(self, limit=30):
        """Asks it to stop; returns its exit code, None if it had to be
        killed."""
        if not self.alive():
            return self.child.returncode if self.child else None
        self.child.send_signal(signal.SIGCONT)
        self.child.terminate()
        try:
            return self.child.wait(limit)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def log(self):
        with open(self.log_path, errors="replace") as log:
            return log.read()


class Fleet:
    """A store, model engines, a plain service and entry instances."""

    ENGINE_LAYERS = [(0, 8), (8, 20), (20, 32)]

    def __init__(self, instances=2, replicas=1, services=1, step_us=1000,
                 slots=64, preset="release", routing=None,
                 requests_per_second=1000):
        self.folder = tempfile.mkdtemp(prefix="fireflysail-")
        self.preset = preset
        self.step_us = step_us
        self.slots = slots
        self.routing = routing or {}
        self.requests_per_second = requests_per_second
        engine_count = replicas * len(self.ENGINE_LAYERS)
        ports = free_ports(1 + engine_count + services + 3 * instances)
        self.store_port = ports.pop()
        self.store = self._stand_in("store", "store", self.store_port)
        self.engines = {}
        self.engine_ports = {}
        self.engine_layers = {}
        for replica in range(replicas):
            for index, layers in enumerate(self.ENGINE_LAYERS):
                name = f"engine-{'abc'[index]}{replica}"
                self.engine_ports[name] = ports.pop()
                self.engine_layers[name] = layers
                self.engines[name] = self._engine(name)
        self.services = {}
        self.service_ports = {}
        for index in range(services):
            name = f"desk-{index}"
            self.service_ports[name] = ports.pop()
            self.services[name] = self._stand_in(
                name, "service", self.service_ports[name], "--id", name)
        self.instances = {}
        self.caller_ports = {}
        self.admin_ports = {}
        self.peer_ports = {}
        names = [f"entry-{index}" for index in range(instances)]
        for name in names:
            self.caller_ports[name] = ports.pop()
            self.admin_ports[name] = ports.pop()
            self.peer_ports[name] = ports.pop()
        self.zones = ["helwan-a", "maadi-b", "tebbin-c"]
        for index, name in enumerate(names):
            self.instances[name] = Process(
                name,
                [binary("fireflysail", preset), "serve", "--settings",
                 self._settings(name, index)],
                self.folder)

    def _stand_in(self, name, role, port, *options):
        return Process(
            name,
            [binary("fireflysail_stand_ins", self.preset), role,
             "--port", str(port), *options],
            self.folder)

    def _engine(self, name):
        first, last = self.engine_layers[name]
        return self._stand_in(
            name, "engine", self.engine_ports[name], "--id", name,
            "--model", MODEL, "--first", str(first), "--last", str(last),
            "--step-us", str(self.step_us), "--slots", str(self.slots))

    def _settings(self, name, index):
        path = os.path.join(self.folder, name + ".json")
        secrets = {}
        for key, text in (("admin", ADMIN_CREDENTIAL), ("peer", PEER_KEY)):
            secrets[key] = os.path.join(self.folder, key + ".secret")
            with open(secrets[key], "w") as file:
                file.write(text)
        seeds = [{"host": HOST, "port": port}
                 for other, port in self.peer_ports.items() if other != name]
        settings = {
            "instance": {"id": name, "zone": self.zones[index % 3],
                         "region": "cairo-south"},
            "caller_api": {"host": HOST, "port": self.caller_ports[name]},
            "admin_api": {"host": HOST, "port": self.admin_ports[name],
                          "office": "helwan" if index % 2 == 0 else "sofia",
                          "credential_file": secrets["admin"]},
            "peers": {"host": HOST, "port": self.peer_ports[name],
                      "key_file": secrets["peer"], "seeds": seeds},
            "store": {"host": HOST, "port": self.store_port},
            "routing": {"load_poll_interval_ms": 200, **self.routing},
        }
        with open(path, "w") as file:
            json.dump(settings, file, indent=2)
        return path

    def put(self, kind, name, value):
        status, _, body = call(
            self.store_port, "PUT", f"/v1/objects/{kind}/{name}", value,
            {"If-None-Match": "*", "Content-Type": "application/json"})
        if status not in (200, 201):
            raise RuntimeError(f"{kind}/{name}: {status} {body}")

    def register(self, workspaces):
        """Puts the fleet and the lists into the store. `workspaces` maps a
        workspace to its key."""
        self.put("model", MODEL, {"layers": LAYERS})
        for index, (name, port) in enumerate(self.engine_ports.items()):
            self.put("server", name, {
                "type": "engine", "host": HOST, "port": port,
                "zone": self.zones[index % 3], "region": "cairo-south",
                "accelerator": "kind-1", "role": "mixed",
                "fencing": "ignores"})
        for name, port in self.service_ports.items():
            self.put("server", name, {
                "type": "service", "service": "dress-desk", "host": HOST,
                "port": port, "zone": self.zones[0]})
        self.put("entitlement", "gold", {
            "models": [MODEL], "services": ["dress-desk"],
            "requests_per_second": self.requests_per_second,
            "tokens_per_second": 100000000,
            "concurrency": 1000, "weight": 1,
            "highest_class": "interactive", "removed": False})
        for workspace, key in workspaces.items():
            self.put("plan", workspace, {
                "plan": "gold", "key_digests": [digest(key)],
                "removed": False})

    def start(self, workspaces):
        self.store.start()
        self._wait_port(self.store_port)
        for process in [*self.engines.values(), *self.services.values()]:
            process.start()
        for port in [*self.engine_ports.values(),
                     *self.service_ports.values()]:
            self._wait_port(port)
        self.register(workspaces)
        for process in self.instances.values():
            process.start()
        for name in self.instances:
            self.wait_ready(name)

    def _wait_port(self, port):
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            try:
                socket.create_connection((HOST, port), 1).close()
                return
            except OSError:
                time.sleep(0.02)
        raise RuntimeError(f"nothing listens on {port}")

    def wait_ready(self, name):
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            try:
                if call(self.caller_ports[name], "GET", "/readyz")[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise RuntimeError(f"{name} is not ready:\n"
                           + self.instances[name].log()[-2000:]
                           + self._statuses())

    def _statuses(self):
        """What each instance says of itself, for the report of a failure."""
        lines = []
        for name, port in self.admin_ports.items():
            try:
                lines.append(f"{name}: " + call(
                    port, "GET", "/v1/status", timeout=5, headers={
                        "Authorization": f"Bearer {ADMIN_CREDENTIAL}"})[2])
            except OSError as error:
                lines.append(f"{name}: {error}")
        return "\n".join(lines)

    def processes(self):
        return [*self.instances.values(), *self.engines.values(),
                *self.services.values(), self.store]

    def stop(self):
        for process in self.processes():
            process.terminate(10)


