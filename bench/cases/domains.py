"""Exclusion and return of a failure domain under load."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..rig import LoadResult
from .loads import MAIN_GROUPS
from .registry import cases

if TYPE_CHECKING:
    from ..load_plan import Outcome
    from ..results import Results
    from ..rig import Rig

OFFERED_LOAD = 0.3
"""Low enough that two of the three failure domains can serve it."""
EXCLUDE_AT_S = 3.0
RESTORE_AT_S = 8.0
SECONDS = 12.0
PHASE_S = 3.0
"""Length of the phases right after the exclusion and right after the return."""
EXCLUSION_BOUND_S = 3.0
"""Time after the exclusion from which the domain must get no new subrequests."""


@dataclass(slots=True)
class ExclusionTimes:
    """Times of an exclusion, in Unix seconds.

    ``late_subrequests_count`` is the number of subrequests that the domain received more than
    ``EXCLUSION_BOUND_S`` after the exclusion.
    """

    excluded_at: float = 0.0
    last_received_at: float = 0.0
    late_subrequests_count: int = 0
    restored_at: float = 0.0


@cases.register("domain")
def domain(rig: Rig, results: Results) -> None:
    """Exclude a failure domain for a few seconds and report each phase separately."""
    group = MAIN_GROUPS[rig.options.deployment]
    excluded = sorted({server.domain for server in rig.fleet.servers.values()})[0]
    exclusion_times = ExclusionTimes()

    def exclude_and_restore(started_at: float) -> None:
        rig.sleep_until(started_at + EXCLUDE_AT_S)
        rig.fleet.exclude(f"domain={excluded}")
        exclusion_times.excluded_at = time.time()
        rig.sleep_until(started_at + RESTORE_AT_S)
        _read_journals(rig, excluded, exclusion_times)
        rig.fleet.publish()
        exclusion_times.restored_at = time.time()

    result = rig.load([rig.stream(group, OFFERED_LOAD)], SECONDS, during=exclude_and_restore)
    _add_phases(rig, results, group, result, exclusion_times)
    last_s = max(0.0, exclusion_times.last_received_at - exclusion_times.excluded_at)
    results.add_measurement(rig, "domain", "last subrequest after the exclusion", last_s, "s")
    results.add_measurement(
        rig,
        "domain",
        f"subrequests later than {EXCLUSION_BOUND_S:g} s",
        exclusion_times.late_subrequests_count,
        "",
    )


def _read_journals(rig: Rig, excluded: str, exclusion_times: ExclusionTimes) -> None:
    names = [name for name, server in rig.fleet.servers.items() if server.domain == excluded]
    journals = rig.fleet.journals(after=exclusion_times.excluded_at + EXCLUSION_BOUND_S)
    exclusion_times.late_subrequests_count = sum(journals[name]["received"] for name in names)
    exclusion_times.last_received_at = max(journals[name]["last_received_at"] for name in names)


def _add_phases(
    rig: Rig, results: Results, group: str, result: LoadResult, exclusion_times: ExclusionTimes
) -> None:
    excluded_s = exclusion_times.excluded_at - result.started_at
    restored_s = exclusion_times.restored_at - result.started_at
    phases = {
        "before": (0.0, excluded_s),
        "leaving": (excluded_s, excluded_s + PHASE_S),
        "out": (excluded_s + PHASE_S, restored_s),
        "returning": (restored_s, restored_s + PHASE_S),
        "whole": (0.0, SECONDS),
    }
    for name, (begin_s, end_s) in phases.items():
        phase_outcomes = _sent_between(result.outcomes, begin_s, end_s)
        phase = LoadResult(result.started_at, end_s - begin_s, phase_outcomes, result.usage)
        results.add_load(rig, "domain", name, {group: OFFERED_LOAD}, phase)


def _sent_between(outcomes: list[Outcome], begin_s: float, end_s: float) -> list[Outcome]:
    return [outcome for outcome in outcomes if begin_s <= outcome.at_s < end_s]
