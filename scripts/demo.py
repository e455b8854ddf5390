"""Shows the whole path on loopback; called by scripts/demo."""

import json
import signal
import subprocess
import sys
import threading
import time

from local_fleet import (ADMIN_CREDENTIAL, HOST, MODEL, Fleet, binary, call,
                         digest, stream_completion)

KEY = "key-of-helwan-north"
IN_FORCE_LIMIT_S = 3
failures = []


def step(name, good, figure):
    print(f"{'ok  ' if good else 'FAIL'} {name}: {figure}", flush=True)
    if not good:
        failures.append(name)


def command(fleet, name, *words):
    """Runs the command line against one instance."""
    ran = subprocess.run(
        [binary("fireflysail"), *words, "--json", "--admin",
         f"{HOST}:{fleet.admin_ports[name]}", "--credential-file",
         fleet.folder + "/admin.secret"],
        capture_output=True, text=True, timeout=30, check=False)
    return ran.returncode, ran.stdout or ran.stderr


def stream(fleet):
    begin = time.monotonic()
    status, text, terminal, times = stream_completion(
        fleet.caller_ports["entry-0"], KEY,
        {"model": MODEL, "prompt": "dress plan", "max_tokens": 64})
    good = (status, terminal, len(times)) == (200, "done", 64)
    first = (times[0] - begin) * 1000 if times else float("nan")
    step("streamed completion", good,
         f"{len(times)} tokens through 3 stages, first after {first:.0f} ms")
    return text


def book(fleet):
    headers = {"Authorization": f"Bearer {KEY}",
               "Idempotency-Key": "booking-7",
               "Content-Type": "application/json"}
    path = "/v1/services/dress-desk/bookings"
    answers = [call(fleet.caller_ports[name], "POST", path, {"tool": "d-7"},
                    headers) for name in ("entry-0", "entry-1")]
    runs = json.loads(call(fleet.service_ports["desk-0"], "GET",
                           "/truth")[2])["runs_by_key"].get("booking-7", 0)
    same = answers[0][2] == answers[1][2]
    good = runs == 1 and same and answers[0][0] == answers[1][0] == 201
    step("booking sent twice, through two instances", good,
         f"{runs} run, replayed answer {'equal' if same else 'different'}")


def edit_plan(fleet):
    code, shown = command(fleet, "entry-0", "plan", "get", "helwan-north")
    version = json.loads(shown)["version"]
    entry = {"plan": "gold",
             "key_digests": [digest(KEY), digest("second-key")]}
    begin = time.monotonic()
    code, answer = command(
        fleet, "entry-1", "plan", "set", "helwan-north", "--entry",
        json.dumps(entry), "--based-on", str(version), "--user", "demo")
    accepted = time.monotonic()
    if code != 0:
        step("plan edited", False, answer.strip())
        return
    waiting = set(fleet.caller_ports)
    end = accepted + IN_FORCE_LIMIT_S
    while waiting and time.monotonic() < end:
        for name in list(waiting):
            status = call(fleet.caller_ports[name], "GET", "/v1/models",
                          headers={"Authorization": "Bearer second-key"})[0]
            if status == 200:
                waiting.discard(name)
        time.sleep(0.02)
    took = time.monotonic() - accepted
    step("plan edited", not waiting,
         f"accepted in {(accepted - begin) * 1000:.0f} ms, in force on "
         f"{len(fleet.caller_ports) - len(waiting)} of "
         f"{len(fleet.caller_ports)} instances after {took * 1000:.0f} ms")
    code, _ = command(
        fleet, "entry-0", "plan", "set", "helwan-north", "--entry",
        json.dumps(entry), "--based-on", str(version))
    step("edit based on an old version", code == 3, f"exit code {code}")


def lose_stage(fleet, whole):
    killed = threading.Event()
    gaps = []

    def on_token(count):
        gaps.append(time.monotonic())
        if count == 24 and not killed.is_set():
            killed.set()
            # The stage that serves is the one that has run tokens of it.
            for name in ("engine-b0", "engine-b1"):
                truth = json.loads(call(fleet.engine_ports[name], "GET",
                                        "/truth")[2])
                if any(runs < 64 for runs in truth["run_tokens"].values()):
                    fleet.engines[name].kill()
                    return

    status, text, terminal, times = stream_completion(
        fleet.caller_ports["entry-2"], KEY,
        {"model": MODEL, "prompt": "dress plan", "max_tokens": 64},
        on_event=on_token)
    lost = [name for name, engine in fleet.engines.items()
            if not engine.alive()]
    longest = max((b - a for a, b in zip(gaps, gaps[1:])), default=0)
    good = bool(lost) and (status, terminal) == (200, "done") and text == whole
    step("stage killed mid-answer", good,
         f"lost {', '.join(lost) or 'none'}, answer of {len(times)} tokens "
         f"{'equal' if text == whole else 'different'}, longest gap "
         f"{longest * 1000:.0f} ms")


def print_how(fleet):
    port = fleet.caller_ports["entry-0"]
    print(f"""
Callers:   curl -N http://{HOST}:{port}/v1/completions \\
             -H 'Authorization: Bearer {KEY}' \\
             -d '{{"model":"{MODEL}","prompt":"hello","max_tokens":20,"stream":true}}'
Operators: {binary("fireflysail")} status \\
             --admin {HOST}:{fleet.admin_ports["entry-0"]} \\
             --credential-file {fleet.folder}/admin.secret
Logs are in {fleet.folder}. Stop with Ctrl-C.""", flush=True)


def main():
    keep = "--keep" in sys.argv[1:]
    fleet = Fleet(instances=3, replicas=2, step_us=5000)
    try:
        begin = time.monotonic()
        fleet.start({"helwan-north": KEY})
        step("started", True,
             f"store, 6 engines, 1 service, 3 instances ready in "
             f"{time.monotonic() - begin:.1f} s")
        whole = stream(fleet)
        book(fleet)
        edit_plan(fleet)
        lose_stage(fleet, whole)
        if keep:
            print_how(fleet)
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
        codes = [process.terminate()
                 for process in fleet.instances.values()]
        step("stopped", codes == [0, 0, 0], f"exit codes {codes}")
    finally:
        fleet.stop()
    return 1 if failures else 0


sys.exit(main())
