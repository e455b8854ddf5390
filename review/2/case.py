"""An entry of another writer has a field of another type: lists in lists.

LOST: a machine in touch does not pass more than three requests from kept
channels on to sound servers and close these channels without an answer."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../lib"))
import world  # noqa: E402

# Twice this many bytes: below the megabyte that the store holds.
DEPTH = 400_000
CHANNELS = 24
ALLOWED = 3
RESTARTS = 3


async def script(record, scratch):
    store = world.Store(record)
    await store.listen()
    store.put("config", "main", world.configuration(
        1, [world.route("/once/", "unsafe", "desk")]))
    desks = [world.Desk(record, store, f"desk-{number}", work_s=0.2)
             for number in range(2)]
    for desk in desks:
        await desk.start()
    relay = world.Relay(record, scratch, "edge-1", f"127.0.0.1:{store.port}")
    caller = world.Caller(record, relay)
    try:
        await relay.start()
        if not await relay.wait_ready():
            return 2
        stop = asyncio.Event()
        traffic = asyncio.gather(*[caller.keep_asking("/once/x", stop)
                                   for _ in range(CHANNELS)])
        await asyncio.sleep(world.CONTACT_MS / 1000 + 1)
        if world.with_trouble():
            store.raw["@lists@"] = "[" * DEPTH + "]" * DEPTH
            store.put("servers", "other-writer", {"Zone": "@lists@"})
        await asyncio.sleep(3)
        stop.set()
        await traffic
        ran = {attempt for desk in desks for _, attempt in desk.ran}
        lost = [attempt for attempt, (_, status, _) in caller.answers.items()
                if status == 0 and attempt in ran]
        ends = [relay.process.returncode]
        # The platform starts again what ended.
        while ends[-1] is not None and len(ends) <= RESTARTS:
            await asyncio.sleep(0.5)
            await relay.start()
            await asyncio.sleep(2)
            ends.append(relay.process.returncode)
        record.add("ends", codes=ends)
        served = sum(status == 200
                     for _, status, _ in caller.answers.values())
        summary = (f"sent {len(caller.sent)}, served {served}, run and closed "
                   f"without an answer: {len(lost)}, ends of the process by "
                   f"itself, at first and after each restart: {ends}")
        record.add("summary", text=summary)
        print(summary)
        if served < CHANNELS:
            return 2
        return 1 if len(lost) > ALLOWED else 0
    finally:
        await relay.end()
        store.close()
        for desk in desks:
            desk.close()


if __name__ == "__main__":
    sys.exit(world.play(__file__, script))
