"""Runs a fleet under random faults and checks every answer against what the
stand-ins know to be true; called by scripts/soak."""

import argparse
import collections
import http.client
import json
import random
import signal
import statistics
import subprocess
import sys
import threading
import time

from local_fleet import (ADMIN_CREDENTIAL, MODEL, Fleet, binary, call, digest,
                         stream_completion)
from soak_faults import schedule

KEY = "key-of-helwan-north"
CRASH_TEXT = "POISON"
SETTLE_S = 15
LEAVE_LIMIT_S = 3
CALL_LIMIT_S = 40
OPERATOR = {"Authorization": f"Bearer {ADMIN_CREDENTIAL}",
            "Content-Type": "application/json"}


def ended_by_fault(log):
    """Whether the last words of a process say that it ended by itself."""
    return "invariant_broken" in log or "uncaught_exception" in log


def right_answers(prompts, preset):
    """What the stand-in engines must answer, by (prompt, tokens)."""
    text = "".join(f"{count} {prompt}\n" for prompt, count in prompts)
    out = subprocess.run(
        [binary("fireflysail_stand_ins", preset), "answers"], input=text,
        capture_output=True, text=True, check=True).stdout
    return dict(zip(prompts, out.split("\n")))


class Record:
    """What happened, from many threads."""

    def __init__(self):
        self.lock = threading.Lock()
        self.counts = collections.Counter()
        self.violations = []
        self.gaps = []
        self.bookings = collections.defaultdict(list)
        self.edits = []

    def count(self, name, amount=1):
        with self.lock:
            self.counts[name] += amount

    def violation(self, promise, trace):
        with self.lock:
            self.violations.append((promise, trace))


class Soak:
    def __init__(self, options):
        self.options = options
        self.record = Record()
        self.fleet = Fleet(
            instances=options.instances, replicas=3, step_us=2000, slots=16,
            preset=options.preset)
        self.stopping = threading.Event()
        self.swing = threading.Event()
        self.killed = {}     # instance -> times of our kills and pauses
        self.draining = set()
        self.lock = threading.Lock()
        source = random.Random(options.seed)
        short = [(f"plan {source.randrange(10**9)}", source.randint(4, 40))
                 for _ in range(60)]
        long = [(f"summary {source.randrange(10**9)}", 600)
                for _ in range(6)]
        self.short, self.long = short, long
        self.answers = right_answers(short + long, options.preset)
        self.prompts = {prompt: 1 for prompt, _ in short + long}

    # -- callers ----------------------------------------------------------

    def instance_names(self):
        return list(self.fleet.instances)

    def disturbed_since(self, name, began):
        with self.lock:
            return any(end >= began for _, end in self.killed.get(name, []))

    def disturb(self, name, until=None):
        with self.lock:
            self.killed.setdefault(name, []).append(
                (time.monotonic(), until or time.monotonic()))

    def complete(self, source):
        name = source.choice(self.instance_names())
        pool = self.long if source.random() < 0.05 else self.short
        prompt, count = source.choice(pool)
        began = time.monotonic()
        status, text, terminal, times = stream_completion(
            self.fleet.caller_ports[name], KEY,
            {"model": MODEL, "prompt": prompt, "max_tokens": count},
            timeout=CALL_LIMIT_S)
        right = self.answers[(prompt, count)]
        self.record.count("completions")
        if status == 200 and not right.startswith(text):
            self.record.violation(
                "whole answer", f"{name} {prompt!r}: got {text[-80:]!r}")
        if terminal == "done":
            self.record.count("completed")
            if text != right:
                self.record.violation(
                    "whole answer",
                    f"{name} {prompt!r}: {len(times)} of {count} tokens")
            with self.record.lock:
                self.record.gaps.extend(
                    gap for gap in (b - a for a, b in zip(times, times[1:]))
                    if gap > 0.1)
            return
        if status == 0:
            # A kill in the middle of a planned stop is a kill.
            if (name in self.draining and times
                    and not self.disturbed_since(name, began)):
                self.record.violation(
                    "planned stop cuts off nothing",
                    f"{name} cut {prompt!r} after {len(times)} tokens")
            elif (times and not self.options.no_times
                  and not self.disturbed_since(name, began)):
                self.record.violation(
                    "a stream ends in a terminal event",
                    f"{name} {prompt!r}: {terminal}")
            self.record.count("connection lost")
            return
        if status != 200:
            error = json.loads(text)["error"]
            self.record.count(f"{error['outcome']}: {error['code']}")
            return
        if terminal is None:
            if not self.disturbed_since(name, began):
                self.record.violation(
                    "a stream ends in a terminal event",
                    f"{name} {prompt!r}: ended after {len(times)} tokens")
            self.record.count("stream cut")
            return
        self.record.count(f"{terminal['outcome']}: {terminal['code']}")

    def service_call(self, name, method, path, headers, body=None):
        try:
            status, _, text = call(
                self.fleet.caller_ports[name], method,
                "/v1/services/dress-desk" + path, body,
                {"Authorization": f"Bearer {KEY}",
                 "Content-Type": "application/json",
                 "X-Deadline-Ms": "8000", **headers},
                timeout=CALL_LIMIT_S)
        except (OSError, http.client.HTTPException):
            return "lost", None
        if status < 300:
            return "completed", text
        error = json.loads(text)["error"]
        return error["outcome"], error["code"]

    def look_up(self, source):
        name = source.choice(self.instance_names())
        outcome, _ = self.service_call(name, "GET", "/jobs/7", {})
        self.record.count("lookups")
        self.record.count(f"lookup {outcome}")

    def book(self, source):
        """One booking, sent again through other instances until it is
        answered, sometimes by two senders at once."""
        key = f"booking-{source.getrandbits(60):x}"
        sends = 1 + (source.random() < 0.3)
        threads = [threading.Thread(
            target=self.send_booking, args=(key, source.randrange(1 << 30)))
            for _ in range(sends)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.record.count("bookings")

    def send_booking(self, key, salt):
        source = random.Random(salt)
        for _ in range(4):
            name = source.choice(self.instance_names())
            outcome, what = self.service_call(
                name, "POST", "/bookings", {"Idempotency-Key": key},
                {"tool": key})
            with self.record.lock:
                self.record.bookings[key].append((outcome, what))
            if outcome == "completed":
                return
            time.sleep(0.2)

    def caller(self, salt, only_in_swing=False):
        source = random.Random(salt)
        while not self.stopping.is_set():
            if only_in_swing and not self.swing.wait(0.2):
                continue
            kind = source.choices(
                [self.complete, self.look_up, self.book], [6, 2, 2])[0]
            kind(source)
            time.sleep(source.uniform(0, 0.02))

    # -- faults -----------------------------------------------------------

    def apply(self, fault):
        self.record.count(f"fault {fault.kind}")
        try:
            getattr(self, "fault_" + fault.kind)(fault)
        except (OSError, http.client.HTTPException):
            self.record.count("faults that met a dead process")

    def engine(self, fault):
        names = list(self.fleet.engines)
        name = names[fault.target % len(names)]
        return name, self.fleet.engines[name]

    def instance(self, fault):
        names = self.instance_names()
        name = names[fault.target % len(names)]
        return name, self.fleet.instances[name]

    def engine_fault(self, name, faults):
        call(self.fleet.engine_ports[name], "POST", "/faults", faults,
             timeout=2)

    def fault_kill_engine(self, fault):
        name, engine = self.engine(fault)
        engine.kill()
        time.sleep(fault.lasts / 4)
        self.start_engine(name)

    def start_engine(self, name):
        with self.lock:
            if not self.fleet.engines[name].alive():
                self.fleet.engines[name].start()
        time.sleep(0.2)
        self.engine_fault(name, {"crash_text": CRASH_TEXT})

    def fault_kill_instance(self, fault):
        name, instance = self.instance(fault)
        self.disturb(name)
        instance.kill()
        self.disturb(name)
        time.sleep(fault.lasts / 4)
        self.restart_instance(name)

    def restart_instance(self, name):
        with self.lock:
            if not self.fleet.instances[name].alive():
                self.fleet.instances[name].start()

    def fault_stop_instance(self, fault):
        """A planned stop: nothing that runs may be cut off."""
        name, instance = self.instance(fault)
        if not instance.alive() or self.disturbed_since(
                name, time.monotonic() - 10):
            return
        self.draining.add(name)
        code = instance.terminate(60)
        if code != 0 and not self.options.no_times and not self.disturbed_since(
                name, time.monotonic() - 60):
            self.record.violation(
                "planned stop cuts off nothing",
                f"{name} exited with {code}: {instance.log()[-300:]}")
        self.draining.discard(name)
        self.disturb(name)
        self.restart_instance(name)

    def pause(self, process, seconds):
        process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.signal(signal.SIGCONT)

    def fault_pause_engine(self, fault):
        self.pause(self.engine(fault)[1], fault.lasts)

    def fault_pause_instance(self, fault):
        """Up to 12 s: past every lease and timeout."""
        name, instance = self.instance(fault)
        if name in self.draining:
            return
        self.disturb(name, time.monotonic() + fault.lasts * 1.5 + 1)
        self.pause(instance, fault.lasts * 1.5)

    def fault_pause_store(self, fault):
        self.pause(self.fleet.store, fault.lasts)

    def fault_pause_service(self, fault):
        names = list(self.fleet.services)
        self.pause(self.fleet.services[names[fault.target % len(names)]],
                   fault.lasts / 2)

    def engine_for_a_while(self, fault, on, off):
        name, _ = self.engine(fault)
        self.engine_fault(name, on)
        time.sleep(fault.lasts)
        self.engine_fault(name, off)

    def fault_silent_engine(self, fault):
        self.engine_for_a_while(fault, {"silent": True}, {"silent": False})

    def fault_crossed_engine(self, fault):
        self.engine_for_a_while(fault, {"crossed": True}, {"crossed": False})

    def fault_slow_engine(self, fault):
        self.engine_for_a_while(fault, {"delay_ms": 30}, {"delay_ms": 0})

    def store_for_a_while(self, fault, faults):
        call(self.fleet.store_port, "POST", "/faults", faults, timeout=2)
        time.sleep(fault.lasts)
        call(self.fleet.store_port, "POST", "/faults", {}, timeout=2)

    def fault_store_down(self, fault):
        self.store_for_a_while(fault, {"down": True})

    def fault_store_slow(self, fault):
        self.store_for_a_while(fault, {"delay_ms": 300})

    def fault_store_lossy(self, fault):
        self.store_for_a_while(
            fault, {"lost_answer_chance": 0.3, "lost_request_chance": 0.1})

    def fault_store_late(self, fault):
        self.store_for_a_while(
            fault, {"late_write_chance": 0.3, "late_by_ms": 1500})

    def fault_lost_service_answers(self, fault):
        for port in self.fleet.service_ports.values():
            call(port, "POST", "/faults", {"lost_answers": 3}, timeout=2)

    def fault_swing(self, fault):
        self.swing.set()
        time.sleep(fault.lasts)
        self.swing.clear()

    def fault_crashing_request(self, fault):
        """Its caller sends it again and again, through every instance."""
        for attempt in range(6):
            name = self.instance_names()[
                (fault.target + attempt) % len(self.fleet.instances)]
            status, _, terminal, _ = stream_completion(
                self.fleet.caller_ports[name], KEY,
                {"model": MODEL, "prompt": f"{CRASH_TEXT} {fault.salt}",
                 "max_tokens": 4}, timeout=CALL_LIMIT_S)
            if terminal == "done":
                self.record.violation(
                    "crashing request", "it was said to have completed")
            time.sleep(0.3)

    def fault_racing_edits(self, fault):
        """Both offices edit one entry, based on the same version."""
        workspace = f"raced-{fault.target % 4}"
        names = self.instance_names()
        first = names[fault.target % len(names)]
        second = names[(fault.target + 1) % len(names)]
        status, _, text = call(
            self.fleet.admin_ports[first], "GET",
            f"/v1/plans/{workspace}", headers=OPERATOR, timeout=5)
        based_on = json.loads(text)["version"] if status == 200 else 0
        edits = []
        for index, name in enumerate((first, second)):
            edit = f"edit-{fault.salt}-{index}"
            entry = {"plan": "gold", "key_digests": [digest(edit)]}
            edits.append(threading.Thread(
                target=self.edit, args=(name, workspace, entry, based_on,
                                        edit)))
        for edit in edits:
            edit.start()
        for edit in edits:
            edit.join()

    def edit(self, name, workspace, entry, based_on, edit):
        body = {"entry": entry, "based_on": based_on, "edit_id": edit}
        for _ in range(5):
            try:
                status, _, text = call(
                    self.fleet.admin_ports[name], "PUT",
                    f"/v1/plans/{workspace}", body, OPERATOR,
                    timeout=CALL_LIMIT_S)
            except (OSError, http.client.HTTPException):
                status, text = 0, "{}"
            if status == 200:
                version = json.loads(text)["version"]
                with self.record.lock:
                    self.record.edits.append(
                        (version, workspace, entry, based_on))
                self.record.count("edits accepted")
                return
            if status == 409:
                self.record.count("edits in conflict")
                return
            time.sleep(0.5)
        self.record.count("edits unresolved")
        with self.record.lock:
            self.record.edits.append((None, workspace, entry, based_on))

    def mark(self, engine, mark):
        for name in self.instance_names():
            try:
                status = call(
                    self.fleet.admin_ports[name], "PUT",
                    f"/v1/marks/{engine}", {"entry": {"mark": mark}},
                    OPERATOR, timeout=5)[0]
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                return True
        return False

    def attempts_on(self, engine):
        truth = call(self.fleet.engine_ports[engine], "GET", "/truth",
                     timeout=5)[2]
        return set(json.loads(truth)["run_tokens"])

    def fault_leave_engine(self, fault):
        """A leaving engine gets no new work after a few seconds, on no
        instance that was not paused meanwhile."""
        engine, _ = self.engine(fault)
        if self.options.no_times or not self.mark(engine, "leaving"):
            return
        accepted = time.monotonic()
        time.sleep(LEAVE_LIMIT_S)
        before = self.attempts_on(engine)
        time.sleep(2)
        fresh = self.attempts_on(engine) - before
        fresh = {attempt for attempt in fresh if not any(
            f"{name}." in attempt and self.disturbed_since(
                name, accepted - 1) for name in self.instance_names())}
        if fresh:
            self.record.violation(
                "a leaving backend server gets no new work",
                f"{engine}: {sorted(fresh)[:3]}")
        self.record.count("leaves checked")
        self.mark(engine, "serving")

    # -- the run ----------------------------------------------------------

    def revive(self):
        """The platform restarts engines that died."""
        while not self.stopping.is_set():
            for name, engine in self.fleet.engines.items():
                if engine.child and not engine.alive():
                    time.sleep(0.3)
                    try:
                        self.start_engine(name)
                        self.record.count("engines restarted")
                    except (OSError, http.client.HTTPException):
                        pass
            time.sleep(0.1)

    def watch_instances(self):
        """Lists never go back on an instance; no instance ends by itself."""
        newest = {}
        while not self.stopping.is_set():
            for name, process in self.fleet.instances.items():
                if ended_by_fault(process.log()[-4000:]):
                    self.record.violation(
                        "invariants", f"{name}: {process.log()[-400:]}")
                    return
                try:
                    status = json.loads(call(
                        self.fleet.admin_ports[name], "GET", "/v1/status",
                        headers=OPERATOR, timeout=1)[2])
                except (OSError, ValueError, http.client.HTTPException):
                    continue
                life, version = status["instance"], status["lists"]["version"]
                if version < newest.get(life, 0):
                    self.record.violation(
                        "accepted configuration never reverts",
                        f"{life}: {newest[life]} then {version}")
                newest[life] = version
            time.sleep(0.3)

    def run(self):
        faults = schedule(self.options.seed, self.options.seconds)
        for fault in faults:
            print(f"{fault.at:8.3f} {fault.kind} lasts {fault.lasts} "
                  f"target {fault.target}")
        self.fleet.start({"helwan-north": KEY})
        for name in self.fleet.engines:
            self.engine_fault(name, {"crash_text": CRASH_TEXT})
        threads = [threading.Thread(
            target=self.caller, args=(self.options.seed * 1000 + i, i >= 8),
            daemon=True) for i in range(32)]
        threads += [threading.Thread(target=self.revive, daemon=True),
                    threading.Thread(target=self.watch_instances,
                                     daemon=True)]
        for thread in threads:
            thread.start()
        began = time.monotonic()
        running = []
        for fault in faults:
            time.sleep(max(0, began + fault.at - time.monotonic()))
            running.append(threading.Thread(
                target=self.apply, args=(fault,), daemon=True))
            running[-1].start()
        time.sleep(max(0, began + self.options.seconds - time.monotonic()))
        for thread in running:
            thread.join(90)
        self.stopping.set()
        self.swing.set()
        for thread in threads:
            thread.join(90)
        self.check_end()

    def operator_get(self, path):
        """What any instance answers, once one does: the store's budget may be
        used up for a moment."""
        end = time.monotonic() + SETTLE_S
        while True:
            for port in self.fleet.admin_ports.values():
                try:
                    status, _, text = call(
                        port, "GET", path, headers=OPERATOR, timeout=5)
                except (OSError, http.client.HTTPException):
                    continue
                if status == 200:
                    return json.loads(text)
            if time.monotonic() > end:
                raise RuntimeError(f"no instance answers {path}")
            time.sleep(0.3)

    def check_end(self):
        call(self.fleet.store_port, "POST", "/faults", {}, timeout=5)
        for name in self.fleet.instances:
            self.fleet.wait_ready(name)
        self.check_lists()
        self.check_bookings()
        for name, process in self.fleet.instances.items():
            if ended_by_fault(process.log()):
                self.record.violation(
                    "invariants", f"{name}: {process.log()[-400:]}")

    def check_lists(self):
        """Every instance runs the same lists, the last accepted ones."""
        end = time.monotonic() + SETTLE_S
        while True:
            digests = {}
            for name in self.fleet.instances:
                try:
                    status = json.loads(call(
                        self.fleet.admin_ports[name], "GET", "/v1/status",
                        headers=OPERATOR, timeout=5)[2])
                    digests[name] = status["lists"]["digest"]
                except (OSError, http.client.HTTPException):
                    digests[name] = None
            if len(set(digests.values())) == 1 or time.monotonic() > end:
                break
            time.sleep(0.3)
        if len(set(digests.values())) != 1:
            self.record.violation(
                "configuration in force everywhere", str(digests))
        by_workspace = collections.defaultdict(list)
        for version, workspace, entry, based_on in self.record.edits:
            by_workspace[workspace].append((version, entry, based_on))
        for workspace, edits in by_workspace.items():
            accepted = [edit for edit in edits if edit[0] is not None]
            bases = [edit[2] for edit in accepted]
            if len(bases) != len(set(bases)):
                self.record.violation(
                    "configuration never reverts",
                    f"{workspace}: two edits accepted on one version")
            if not accepted:
                continue
            last = max(accepted, key=lambda edit: edit[0])
            shown = self.operator_get(f"/v1/plans/{workspace}")
            open_edits = [edit[1] for edit in edits if edit[0] is None]
            if shown["entry"] != last[1] and shown["entry"] not in open_edits:
                self.record.violation(
                    "configuration never reverts",
                    f"{workspace}: {shown} is not {last}")

    def check_bookings(self):
        runs = collections.Counter()
        for port in self.fleet.service_ports.values():
            runs.update(json.loads(call(
                port, "GET", "/truth", timeout=10)[2])["runs_by_key"])
        for key, sends in self.record.bookings.items():
            outcomes = [outcome for outcome, _ in sends]
            ran = runs.get(key, 0)
            for outcome in outcomes:
                self.record.count(f"booking {outcome}")
            if ran > 1:
                self.record.violation("at most once", f"{key} ran {ran} times")
            if ran == 0 and "completed" in outcomes:
                self.record.violation("at most once", f"{key} never ran")
            if ran == 1 and set(outcomes) == {"did_not_run"}:
                self.record.violation(
                    "did not run is true when said", f"{key}: {sends}")
            answers = {what for outcome, what in sends
                       if outcome == "completed"}
            if len(answers) > 1:
                self.record.violation("whole answer", f"{key}: {answers}")
            self.record.count("bookings that ran", ran)

    def report(self):
        print("\ncounts:")
        for name, count in sorted(self.record.counts.items()):
            print(f"  {name}: {count}")
        gaps = sorted(self.record.gaps)
        if len(gaps) == 1:
            print(f"one gap above 100 ms: {gaps[0]:.3f} s")
        elif gaps:
            cuts = statistics.quantiles(gaps, n=100)
            print(f"gaps above 100 ms within completed answers: {len(gaps)}, "
                  f"p50 {cuts[49]:.3f} s, p95 {cuts[94]:.3f} s, "
                  f"p99 {cuts[98]:.3f} s")
        kinds = collections.Counter(
            promise for promise, _ in self.record.violations)
        print(f"violations: {sum(kinds.values())} {dict(kinds)}")
        if self.record.violations:
            for promise, trace in self.record.violations[:5]:
                print(f"  {promise}: {trace}")
        print(f"logs: {self.fleet.folder}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--instances", type=int, default=9)
    parser.add_argument("--preset", default="release")
    parser.add_argument(
        "--no-times", action="store_true",
        help="leave out the checks that hold within a time only")
    soak = Soak(parser.parse_args())
    try:
        soak.run()
    finally:
        soak.stopping.set()
        soak.fleet.stop()
    soak.report()
    return 1 if soak.record.violations else 0


sys.exit(main())
