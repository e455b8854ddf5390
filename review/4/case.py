"""Configurations come in quick succession while nine instances run.

CONFIG: no request that was sent later than ConfigApplyMs after the
confirmation of a version is handled as only an older version allows."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../lib"))
import world  # noqa: E402

INSTANCES = 9
# Age of what a call with Serializable returns.
COPY_LAG_S = float(os.environ.get("COPY_LAG_S", "3"))
STORM_S = 4.0
GAP_S = 0.33
DROPPED_KEY = "key-that-is-taken-away"


def version(number, *, is_old):
    """The second version takes a key away and moves a route to another
    service; the later ones only add routes."""
    routes = [world.route("/safe/", "safe", "desk"),
              world.route("/moved/", "unsafe", "desk" if is_old else "office")]
    routes += [world.route(f"/later-{more}/", "safe", "desk")
               for more in range(number)]
    keys = [world.KEY] + ([DROPPED_KEY] if is_old else [])
    return world.configuration(number, routes, ("desk", "office"), keys)


async def script(record, scratch):
    store = world.Store(record, COPY_LAG_S)
    await store.listen()
    store.put("config", "main", version(1, is_old=True))
    desks = [world.Desk(record, store, f"{service}-{number}", service)
             for service in ("desk", "office") for number in range(2)]
    for desk in desks:
        await desk.start()
    await asyncio.sleep(COPY_LAG_S + 1)
    relays = [world.Relay(record, scratch, f"edge-{number}",
                          f"127.0.0.1:{store.port}")
              for number in range(INSTANCES)]
    caller = world.Caller(record, relays[0])
    try:
        await asyncio.gather(*[relay.start() for relay in relays])
        for relay in relays:
            if not await relay.wait_ready():
                return 2
        # Longer than ContactMs and until the instances have found each other.
        await asyncio.sleep(18)
        stop = asyncio.Event()
        traffic = asyncio.gather(
            caller.in_turn(relays, ["/moved/x"], 80, stop),
            caller.in_turn(relays, ["/safe/x"], 80, stop, DROPPED_KEY))
        await asyncio.sleep(1)
        store.put("config", "main", version(2, is_old=False))
        confirmed = time.monotonic()
        number = 2
        while time.monotonic() + GAP_S < confirmed + STORM_S:
            await asyncio.sleep(GAP_S)
            number += 1
            if world.with_trouble():
                store.put("config", "main", version(number, is_old=False))
        await asyncio.sleep(1)
        stop.set()
        await traffic
        late = world.handled_as_before(
            caller, confirmed, DROPPED_KEY, "/moved/x", b"done by desk")
        return world.report_as_before(record, caller, late)
    finally:
        await asyncio.gather(*[relay.end() for relay in relays])
        store.close()
        for desk in desks:
            desk.close()


if __name__ == "__main__":
    sys.exit(world.play(__file__, script))
