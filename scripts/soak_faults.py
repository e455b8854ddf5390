"""The fault schedule of a soak: a function of its seed and nothing else."""

import random
from dataclasses import dataclass, field

# Weights by how often the fault is drawn.
KINDS = {
    "kill_engine": 4,
    "kill_instance": 2,
    "stop_instance": 2,
    "pause_engine": 3,
    "pause_instance": 2,
    "silent_engine": 3,
    "crossed_engine": 3,
    "slow_engine": 2,
    "store_down": 2,
    "store_slow": 2,
    "store_lossy": 3,
    "store_late": 2,
    "pause_store": 1,
    "lost_service_answers": 3,
    "pause_service": 1,
    "racing_edits": 6,
    "leave_engine": 2,
    "crashing_request": 1,
    "swing": 1,
}
SHORTEST_S, LONGEST_S = 0.3, 8.0
MEAN_GAP_S = 1.2


@dataclass
class Fault:
    at: float
    kind: str
    lasts: float
    target: int
    salt: int = field(repr=False, default=0)


def schedule(seed, seconds):
    """Faults in order of time, from 1 s after the start; each begins while
    others may still last, so that pairs of any two kinds come up."""
    source = random.Random(seed)
    at, faults = 1.0, []
    while at < seconds:
        kind = source.choices(list(KINDS), list(KINDS.values()))[0]
        faults.append(Fault(
            round(at, 3), kind,
            round(source.uniform(SHORTEST_S, LONGEST_S), 3),
            source.randrange(1 << 16), source.randrange(1 << 30)))
        if source.random() < 0.25:
            continue  # The next one comes at the same moment.
        at += source.expovariate(1 / MEAN_GAP_S)
    return faults
