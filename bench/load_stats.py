"""Statistics of one load, computed from the outcomes that the load generator recorded."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from marigoldwalk.errors import Code

from .load_plan import CONNECTION_LOST

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .load_plan import Outcome

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Objective:
    """Deadline and minimum coverage that an answer of a group must meet to count as good."""

    deadline_s: float
    min_coverage: float


@dataclass(frozen=True, slots=True)
class Latency:
    """Latency quantiles in milliseconds."""

    p50_ms: float
    p99_ms: float
    p999_ms: float


@dataclass(frozen=True, slots=True)
class LoadStats:
    """Statistics of one load, as measured by its callers.

    Latency and coverage cover all queries that ran, including failed ones. ``good`` counts the
    answers that met the deadline and the minimum coverage of their group.
    """

    sent: int
    ran: int
    good: int
    latency: Latency
    coverage_mean: float
    coverage_p1: float
    shards_answered: int
    refused: dict[str, int]
    lost: int
    """Queries that got no valid response, such as after a connection failure or timeout."""


def compute_stats(outcomes: Sequence[Outcome], objective: Objective) -> LoadStats:
    """Return the statistics of the queries of one group."""
    ran = [outcome for outcome in outcomes if outcome.execution != "not run"]
    coverages = sorted(coverage_of(outcome) for outcome in ran)
    return LoadStats(
        sent=len(outcomes),
        ran=len(ran),
        good=sum(is_good(outcome, objective) for outcome in outcomes),
        latency=latency_of(ran),
        coverage_mean=sum(coverages) / len(coverages) if coverages else 0.0,
        coverage_p1=coverages[len(coverages) // 100] if coverages else 0.0,
        shards_answered=sum(outcome.answered for outcome in outcomes),
        refused=_refusals(outcomes),
        lost=sum(outcome.code == CONNECTION_LOST for outcome in outcomes),
    )


def is_answer(outcome: Outcome) -> bool:
    """Return whether a query got an answer, complete or partial."""
    return outcome.code in (Code.OK, Code.PARTIAL)


def is_good(outcome: Outcome, objective: Objective) -> bool:
    """Return whether a query got an answer that meets the objective."""
    in_time = outcome.latency_s <= objective.deadline_s
    return is_answer(outcome) and in_time and coverage_of(outcome) >= objective.min_coverage


def coverage_of(outcome: Outcome) -> float:
    """Return the fraction of shards that an answer covers, or 0 if there is no answer."""
    return outcome.answered / outcome.shards if is_answer(outcome) and outcome.shards else 0.0


def latency_of(outcomes: Iterable[Outcome]) -> Latency:
    """Return the latency quantiles of the queries."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for outcome in outcomes:
        histogram.record_value(min(max(1, int(outcome.latency_s * 1e6)), MAX_LATENCY_US))
    quantiles = (histogram.get_value_at_percentile(percent) / 1e3 for percent in (50, 99, 99.9))
    return Latency(*quantiles)


def _refusals(outcomes: Iterable[Outcome]) -> dict[str, int]:
    """Return the number of queries refused or failed with each code."""
    failed = (
        Code(outcome.code).name.lower()
        for outcome in outcomes
        if outcome.code != CONNECTION_LOST and not is_answer(outcome)
    )
    return dict(sorted(Counter(failed).items()))
