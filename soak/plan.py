"""Generation of a fault schedule from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

MEAN_GAP_S = 1.2
"""Mean time from one fault to the next; most faults last longer, so that they overlap."""
SERIES_SHARE = 0.35
"""Share of the faults that are repeated in a series."""
SERIES_GAP_S = 0.5
MAX_SERIES_LENGTH = 4
WARM_UP_S = 3.0
"""Time without faults at the start."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault; ``target_seed`` seeds the random choice of its targets."""

    at: float
    kind: str
    duration_s: float
    target_seed: int


def make_plan(seed: int, kinds: tuple[str, ...], duration_s: float) -> list[PlannedFault]:
    """Return the faults of *seed* in order of time, all beginning before *duration_s*."""
    rng = random.Random(seed)
    # Each seed prefers a few kinds, so that some seeds repeat one kind and others mix many.
    preferred = rng.sample(kinds, k=min(len(kinds), rng.randint(2, 6)))
    plan: list[PlannedFault] = []
    at = WARM_UP_S
    while at < duration_s:
        kind = rng.choice(preferred if rng.random() < 0.7 else kinds)
        count = rng.randint(2, MAX_SERIES_LENGTH) if rng.random() < SERIES_SHARE else 1
        for number in range(count):
            start = at + number * SERIES_GAP_S
            if start < duration_s:
                fault_duration_s = rng.uniform(0.3, 4.0)
                plan.append(PlannedFault(start, kind, fault_duration_s, rng.getrandbits(32)))
        at += rng.expovariate(1 / MEAN_GAP_S)
    return sorted(plan, key=lambda fault: (fault.at, fault.kind, fault.target_seed))
