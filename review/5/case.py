"""Open connections to the store that were idle go silent for good while others
and new ones work; more than ContactMs later a server leaves.

DRAIN: no request reaches a server later than DrainMs after the store confirmed
that it is draining."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../lib"))
import world  # noqa: E402

# Age of what a call with Serializable returns.
COPY_LAG_S = float(os.environ.get("COPY_LAG_S", "3"))
OBSERVED_S = 8.0
# What the middlebox forgets had no traffic for this long.
IDLE_S = 4.0


async def script(record, scratch):
    store = world.Store(record, COPY_LAG_S)
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
    await asyncio.sleep(COPY_LAG_S + 1)
    relay = world.Relay(record, scratch, "edge-1", f"127.0.0.1:{link.port}")
    caller = world.Caller(record, relay)
    try:
        await relay.start()
        if not await relay.wait_ready():
            return 2
        calm_s = world.CONTACT_MS / 1000 + 1
        traffic = asyncio.ensure_future(caller.steady(
            ["/safe/x", "/once/x"], 40,
            time.monotonic() + 2 * calm_s + 1 + OBSERVED_S))
        await asyncio.sleep(calm_s + 1)
        if world.with_trouble():
            if link.forget_idle(IDLE_S) == 0:
                return 2
        # Longer than ContactMs, so that the instance is in touch again.
        await asyncio.sleep(calm_s)
        leaving = desks[0]
        leaving.register("draining")
        confirmed = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        await traffic
        late = [(when - confirmed, attempt) for when, attempt in leaving.ran
                if when > confirmed + world.DRAIN_MS / 1000]
        for after, attempt in late:
            record.add("too_late", request=attempt,
                       after_confirmation_s=f"{after:.3f}")
        served = sum(status == 200
                     for _, status, _ in caller.answers.values())
        last = max((when - confirmed for when, _ in leaving.ran), default=0)
        summary = (f"sent {len(caller.sent)}, served {served}, reached "
                   f"{leaving.name} too late: {len(late)}, the last one "
                   f"{last:.3f} s after the confirmation")
        record.add("summary", text=summary)
        print(summary)
        if served < len(caller.sent) / 2:
            return 2
        return 1 if late else 0
    finally:
        await relay.end()
        link.close()
        store.close()
        for desk in desks:
            desk.close()


if __name__ == "__main__":
    sys.exit(world.play(__file__, script))
