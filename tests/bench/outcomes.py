"""Query outcomes for tests."""

from __future__ import annotations

from bench.load_plan import Outcome
from marigoldwalk.errors import Code


def outcome(code: Code = Code.OK, latency_s: float = 0.1, answered: int = 50) -> Outcome:
    """Return the outcome of a query over 50 shards."""
    ran = "not run" if code is Code.OVERLOADED else "ran"
    missing = tuple(range(answered, 50))
    return Outcome(
        "kiosk-finder", {}, 0.0, latency_s, code, ran, 1, 50, answered, missing, answered
    )
