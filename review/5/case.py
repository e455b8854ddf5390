"""All open connections to the store go silent for good while new ones work;
more than ContactMs later a server leaves. Eight instances; nothing lags.

DRAIN: no request reaches a server later than DrainMs after the store confirmed
that it is draining."""
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
# The server serves this much longer than DrainMs, then it exits.
LINGER_S = 2.0


async def script(record, scratch):
    store = world.Store(record)
    await store.listen()
    link = world.Link(record, store.port)
    await link.listen()
    store.put("config", "main", world.configuration(
        1, [world.route("/safe/", "safe", "desk"),
            world.route("/once/", "unsafe", "desk")]))
    desks = [world.Desk(record, store, f"desk-{number}")
             for number in range(2)]
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
        traffic = asyncio.ensure_future(caller.in_turn(
            relays, ["/safe/x", "/once/x"], 160, stop))
        await asyncio.sleep(CALM_S)
        if world.with_trouble():
            link.forget_idle(0)
        await asyncio.sleep(IN_TOUCH_S)
        leaving = desks[0]
        leaving.register("draining")
        confirmed = time.monotonic()
        await asyncio.sleep(world.DRAIN_MS / 1000 + LINGER_S)
        leaving.close()
        record.add("server_exits", server=leaving.name)
        await asyncio.sleep(1)
        stop.set()
        await traffic
        late = [(when - confirmed, attempt) for when, attempt in leaving.ran
                if when > confirmed + world.DRAIN_MS / 1000]
        for after, attempt in late:
            record.add("too_late", request=attempt,
                       through=caller.through[attempt],
                       after_confirmation_s=f"{after:.3f}")
        served = sum(status == 200
                     for _, status, _ in caller.answers.values())
        last = max((when - confirmed for when, _ in leaving.ran), default=0)
        through = sorted({caller.through[attempt] for _, attempt in late})
        summary = (f"sent {len(caller.sent)}, served {served}, reached "
                   f"{leaving.name} too late: {len(late)}, the last one "
                   f"{last:.3f} s after the confirmation, through {through}")
        record.add("summary", text=summary)
        print(summary)
        if served < len(caller.sent) / 2:
            return 2
        return 1 if late else 0
    finally:
        await asyncio.gather(*[relay.end() for relay in relays])
        link.close()
        store.close()
        for desk in desks:
            desk.close()


if __name__ == "__main__":
    sys.exit(world.play(__file__, script))
