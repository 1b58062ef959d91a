"""Performance targets that the results are checked against."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from marigoldwalk.util.registry import Registry

from .results import TIER

if TYPE_CHECKING:
    from .results import Results, Row

MAX_EXTRA_SUBREQUESTS_RATIO = 0.05
MAX_STRAGGLER_P99_RATIO = 1.5
MIN_GOODPUT_RATIO = 0.9
MIN_HIGHEST_PRIORITY_RATIO = 0.99
MAX_EXCLUSION_P99_RATIO = 2.0
MAX_APPLY_S = 4.0
ORDINARY_LOADS = (0.3, 0.7)
HIGHEST_LOAD = 4.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a target is met, with the measured value."""

    target: str
    measured: str
    met: bool


Target = Callable[["Results"], "list[Verdict]"]
"""Returns the verdicts of one target, usually one per fleet; none if its case was not run."""

targets: Registry[Target] = Registry("target")


def all_verdicts(results: Results) -> list[Verdict]:
    """Return the verdicts of all targets whose cases were run."""
    return [verdict for name in targets.names() for verdict in targets.get(name)(results)]


@targets.register("01 coverage")
def no_wrong_answer(results: Results) -> list[Verdict]:
    """Check that no answer claims to cover a shard whose hits it lacks."""
    rows = _tier_rows(results)
    checked = sum(row.check.checked for row in rows)
    wrong = sum(row.check.wrong for row in rows)
    return [Verdict("no wrong answer", f"{wrong} of {checked} answers", not wrong)] if rows else []


@targets.register("02 slots")
def slots_respected(results: Results) -> list[Verdict]:
    """Check that no server gets more subrequests at a time than slots, or than 1 while cold."""
    rows = _tier_rows(results)
    if not rows:
        return []
    over = sum(row.usage.servers.counts["over_slots"] for row in _one_row_per_load(rows))
    cold = sum(row.usage.servers.counts["cold_overloads"] for row in _one_row_per_load(rows))
    received = sum(row.usage.servers.received for row in _one_row_per_load(rows))
    return [
        Verdict("no server over its slots", f"{over} of {received} subrequests", not over),
        Verdict("no cold server over one at a time", f"{cold} of {received} subrequests", not cold),
    ]


@targets.register("03 extra work")
def low_extra_work(results: Results) -> list[Verdict]:
    """Check that retries and hedges add few subrequests at loads below capacity."""
    rows = [row for row in _tier_rows(results) if row.case == "load" and row.load in ORDINARY_LOADS]
    return [
        Verdict(
            f"under 5% extra subrequests at {row.load:g}x ({row.rig})",
            f"{(row.subrequests_per_shard - 1) * 100:.1f}%",
            row.subrequests_per_shard - 1 < MAX_EXTRA_SUBREQUESTS_RATIO,
        )
        for row in rows
    ]


@targets.register("04 stragglers")
def stragglers_tolerated(results: Results) -> list[Verdict]:
    """Check that 1% of slow replies barely raise the p99 latency."""
    rows = _tier_rows(results, "stragglers")
    if len(rows) < 2:
        return []
    ratio = _p99(rows[1]) / _p99(rows[0])
    met = ratio <= MAX_STRAGGLER_P99_RATIO
    return [Verdict("p99 with 1% stragglers at most 1.5x", f"{ratio:.2f}x", met)]


@targets.register("05 goodput")
def goodput_under_overload(results: Results) -> list[Verdict]:
    """Check that goodput under the highest overload stays close to its peak."""
    by_rig: dict[str, list[Row]] = {}
    for row in _tier_rows(results, "load"):
        by_rig.setdefault(row.rig, []).append(row)
    verdicts = []
    for rig, rows in by_rig.items():
        peak = max(row.goodput_qps for row in rows)
        top = rows[-1]
        if top.load != HIGHEST_LOAD or not peak:
            continue
        ratio = top.goodput_qps / peak
        met = ratio >= MIN_GOODPUT_RATIO
        verdicts.append(
            Verdict(f"goodput at 4x at least 90% of the peak ({rig})", f"{ratio:.0%}", met)
        )
    return verdicts


@targets.register("06 priority")
def highest_priority_protected(results: Results) -> list[Verdict]:
    """Check that an overload of a lower priority does not affect the highest priority."""
    verdicts = []
    for rig in dict.fromkeys(row.rig for row in _tier_rows(results, "priorities")):
        highest = next(row for row in _tier_rows(results, "priorities") if row.rig == rig)
        ratio = highest.load_stats.good / max(highest.load_stats.sent, 1)
        met = ratio >= MIN_HIGHEST_PRIORITY_RATIO
        verdicts.append(
            Verdict(f"99% of {highest.group} good during overload", f"{ratio:.1%}", met)
        )
    return verdicts


@targets.register("07 excluded domain")
def no_work_for_excluded_domain(results: Results) -> list[Verdict]:
    """Check that an excluded domain gets no new work after 3 s and that latency stays bounded."""
    verdicts = [
        Verdict("no new work for an excluded domain after 3 s", f"{m.value:g}", not m.value)
        for m in results.measurements
        if m.name.startswith("subrequests later")
    ]
    phases = {row.variant: row for row in _tier_rows(results, "domain")}
    for phase in ("leaving", "returning"):
        if phase in phases:
            ratio = _p99(phases[phase]) / _p99(phases["before"])
            met = ratio <= MAX_EXCLUSION_P99_RATIO
            verdicts.append(Verdict(f"p99 while {phase} at most 2x", f"{ratio:.2f}x", met))
    return verdicts


@targets.register("08 change")
def changes_applied_quickly(results: Results) -> list[Verdict]:
    """Check that all daemons apply a configuration change within seconds."""
    return [
        Verdict("change applied within 4 s", f"{m.value:.2f} s", m.value <= MAX_APPLY_S)
        for m in results.measurements
        if m.name == "longest time until applied"
    ]


@targets.register("09 planned stop")
def planned_stops_lose_no_request(results: Results) -> list[Verdict]:
    """Check that no query is lost while daemons are replaced."""
    return [
        Verdict("no query lost in planned stops", f"{row.load_stats.lost}", not row.load_stats.lost)
        for row in _tier_rows(results, "daemon-restarts")
    ]


def _tier_rows(results: Results, case: str = "") -> list[Row]:
    return [row for row in results.rows if row.system == TIER and case in ("", row.case)]


def _one_row_per_load(rows: list[Row]) -> list[Row]:
    """Return the last row of each load, since all rows of a load share its usage sample."""
    return list({id(row.usage): row for row in rows}.values())


def _p99(row: Row) -> float:
    return max(row.load_stats.latency.p99_ms, 0.001)
