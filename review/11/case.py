"""The store comes back from a copy some seconds old; then the operator moves a
route. Says whether requests are still run by the old service."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../support-3"))
import world as w  # noqa: E402

# The copy is this old when the store goes away, and it is away for so long.
COPY_AGE_S = 4.0
AWAY_S = 1.0
# From the return of the store to the change of the route: the store has then
# been without disturbance for three times ContactMs.
CALM_S = 9.0
WATCHED_S = 20.0
ASK_EVERY_S = 0.1


async def consumers(fleet, record, ends):
    """Each instance gets a request on a new channel every ASK_EVERY_S."""
    asked = []

    async def one(number):
        attempt = w.new_attempt()
        asked.append((time.monotonic(), number, attempt))
        got = await w.ask(fleet.hosts[number], fleet.ports[0], "/lookup/7",
                          attempt=attempt)
        record.note("answered", instance=number, attempt=attempt,
                    status=got.status, whole=got.whole, error=got.error)

    tasks = []
    while not ends.is_set():
        for number in range(len(fleet.hosts)):
            tasks.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(ASK_EVERY_S)
    await asyncio.gather(*tasks)
    return asked


async def case(world, relays, record):
    world.add_model("advisor")
    world.add_plain("desk")
    world.add_plain("archive")
    world.route("plan", "/plan/", "streaming", "advisor", TimeoutMs=20000,
                GoalMs=500, GapTargetMs=200, Resumable=True, Sticky=True)
    world.route("lookup", "/lookup/", "safe", "desk")
    world.configure()
    zones = ["helwan-a", "maadi-b", "tebbin-c"]
    for zone in zones:
        for number in range(4):
            await world.add(w.Engine(
                world, f"i-{zone[0]}{number}", "advisor", zone, 72000))
        await world.add(w.Server(world, f"d-{zone[0]}", "desk", zone))
        await world.add(w.Server(world, f"a-{zone[0]}", "archive", zone))
    fleet = w.Relays(world, zones)
    relays.append(fleet)
    await fleet.start_all()
    ends = asyncio.Event()
    traffic = asyncio.ensure_future(consumers(fleet, record, ends))
    await asyncio.sleep(12)

    store = world.store
    kept = store.take_copy()
    record.note("copy_taken", revision=store.revision)
    await asyncio.sleep(COPY_AGE_S / 2)
    # An ordinary change, well before the store goes away.
    world.route("notes", "/notes/", "safe", "desk")
    world.configure()
    await asyncio.sleep(COPY_AGE_S / 2)
    if w.with_trouble():
        record.note("store_goes_down", revision=store.revision)
        written = {(kind, name): stored["Spec"]
                   for kind in ("config", "servers")
                   for name, stored in store.objects.get(kind, {}).items()}
        store.go_down()
        await asyncio.sleep(AWAY_S)
        await store.come_back(kept)
        record.note("store_is_back", era=store.era, revision=store.revision)
        # The operator and the servers write again what they wrote.
        for (kind, name), spec in written.items():
            store.put(kind, name, spec)
        record.note("written_again", revision=store.revision)
    await asyncio.sleep(CALM_S)

    world.route("lookup", "/lookup/", "safe", "archive")
    confirmed = world.configure()
    await asyncio.sleep(WATCHED_S)
    ends.set()
    asked = await traffic

    due = confirmed + w.BOUNDS["ConfigApplyMs"] / 1000
    sent = {attempt: (at, number) for at, number, attempt in asked}
    late = [(sent[attempt][0] - due, sent[attempt][1])
            for _, service, _, attempt in world.runs
            if service == "desk" and attempt in sent
            and sent[attempt][0] > due]
    for number in range(len(zones)):
        own = [after for after, of in late if of == number]
        record.note("run_by_old_service", instance=number, requests=len(own),
                    last_sent_s_after_bound=max(own, default=0))
    print(f"{len(late)} requests were run by the old service although sent "
          "after the bound")
    return bool(late)


w.play(FOLDER, case)
