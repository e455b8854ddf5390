"""All open connections to the store go silent for good while new ones work;
more than ContactMs later a version takes a key away and moves a route. Eight
instances; nothing lags.

CONFIG: no request that was sent later than ConfigApplyMs after the
confirmation of a version is handled as only an older version allows."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../lib"))
import world  # noqa: E402

INSTANCES = 8
IN_TOUCH_S = world.CONTACT_MS / 1000 + 0.1
CALM_S = float(os.environ.get("CALM_S", "4.1"))
OBSERVED_S = 5.0
DROPPED_KEY = "key-that-is-taken-away"


def version(number):
    is_old = number == 1
    return world.configuration(
        number, [world.route("/safe/", "safe", "desk"),
                 world.route("/moved/", "unsafe",
                             "desk" if is_old else "office")],
        ("desk", "office"), [world.KEY] + ([DROPPED_KEY] if is_old else []))


async def script(record, scratch):
    store = world.Store(record)
    await store.listen()
    link = world.Link(record, store.port)
    await link.listen()
    store.put("config", "main", version(1))
    desks = [world.Desk(record, store, f"{service}-{number}", service)
             for service in ("desk", "office") for number in range(2)]
    for desk in desks:
        await desk.start()
    relays = [world.Relay(record, scratch, f"edge-{number}",
                          f"127.0.0.1:{link.port}")
              for number in range(INSTANCES)]
    caller = world.Caller(record, relays[0])
    try:
        await asyncio.gather(*[relay.start() for relay in relays])
        for relay in relays:
            if not await relay.wait_ready():
                return 2
        stop = asyncio.Event()
        traffic = asyncio.gather(
            caller.in_turn(relays, ["/moved/x"], 80, stop),
            caller.in_turn(relays, ["/safe/x"], 80, stop, DROPPED_KEY))
        await asyncio.sleep(CALM_S)
        if world.with_trouble():
            link.forget_idle(0)
        await asyncio.sleep(IN_TOUCH_S)
        store.put("config", "main", version(2))
        confirmed = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        stop.set()
        await traffic
        late = world.handled_as_before(
            caller, confirmed, DROPPED_KEY, "/moved/x", b"done by desk")
        return world.report_as_before(record, caller, late)
    finally:
        await asyncio.gather(*[relay.end() for relay in relays])
        link.close()
        store.close()
        for desk in desks:
            desk.close()


if __name__ == "__main__":
    sys.exit(world.play(__file__, script))
