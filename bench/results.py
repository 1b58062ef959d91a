"""Results of the benchmark cases, from which the report and the targets are computed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .checking import check_answers
from .load_stats import compute_stats

if TYPE_CHECKING:
    from .checking import AnswerCheck
    from .load_stats import LoadStats
    from .rig import LoadResult, Rig
    from .samples import Sample

TIER = "tier"
PLAIN = "plain"
IDLE_MEASUREMENT = "idle CPU of one daemon"
"""Name of the measurement of the CPU time that a daemon uses without load."""


@dataclass(frozen=True, slots=True)
class Row:
    """Results of one group's queries in one load.

    ``usage``, ``sent_in_load`` and ``shards_in_load`` cover all groups of the load.
    """

    case: str
    variant: str
    rig: str
    system: str
    group: str
    load: float
    seconds: float
    load_stats: LoadStats
    check: AnswerCheck
    usage: Sample
    sent_in_load: int
    shards_in_load: int

    @property
    def goodput_qps(self) -> float:
        """Good answers per second; see :class:`~bench.load_stats.LoadStats`."""
        return self.load_stats.good / self.seconds

    @property
    def subrequests_per_shard(self) -> float:
        """Subrequests received by servers per shard that was answered; 1 without extra work."""
        return self.usage.servers.received / max(self.shards_in_load, 1)

    @property
    def cpu_ms_per_query(self) -> float:
        """CPU time of all daemons per query sent."""
        return self.usage.cpu_s * 1000 / max(self.sent_in_load, 1)


@dataclass(frozen=True, slots=True)
class Measurement:
    """A single value measured by a case, such as the time until a change is applied."""

    case: str
    rig: str
    name: str
    value: float
    unit: str


@dataclass(slots=True)
class Results:
    """All results of a benchmark run so far."""

    rows: list[Row] = field(default_factory=list)
    measurements: list[Measurement] = field(default_factory=list)

    def add_load(
        self,
        rig: Rig,
        case: str,
        variant: str,
        loads: dict[str, float],
        result: LoadResult,
        plain: bool = False,
    ) -> list[Row]:
        """Add and return one row per group; *loads* maps each group to its offered load."""
        rows = [
            _row(rig, case, variant, group, load, result, plain) for group, load in loads.items()
        ]
        self.rows.extend(rows)
        return rows

    def add_measurement(self, rig: Rig, case: str, name: str, value: float, unit: str) -> None:
        """Add a single value."""
        self.measurements.append(Measurement(case, rig.name, name, value, unit))


def _row(
    rig: Rig,
    case: str,
    variant: str,
    group: str,
    load: float,
    result: LoadResult,
    plain: bool,
) -> Row:
    outcomes = [outcome for outcome in result.outcomes if outcome.group == group]
    return Row(
        case=case,
        variant=variant,
        rig=rig.name,
        system=PLAIN if plain else TIER,
        group=group,
        load=load,
        seconds=result.seconds,
        load_stats=compute_stats(outcomes, rig.objective(group)),
        check=check_answers(rig.fleet, outcomes),
        usage=result.usage,
        sent_in_load=len(result.outcomes),
        shards_in_load=sum(outcome.answered for outcome in result.outcomes),
    )
