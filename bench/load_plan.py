"""Input and output files of the load generator: the plan of a load, and each query's outcome."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

CONNECTION_LOST = -1
"""Code of a query that got no valid response, such as after a connection failure or timeout."""


@dataclass(frozen=True, slots=True)
class Stream:
    """Queries of one group, arriving at a constant mean rate."""

    group: str
    rate_qps: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The query streams of one load, and the addresses to spread them over."""

    streams: tuple[Stream, ...]
    seconds: float
    targets: tuple[str, ...]
    seed: int


@dataclass(frozen=True, slots=True)
class ReceivedHit:
    """A hit in a response, without its body."""

    key: str
    score: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one query.

    ``at_s`` is the scheduled send time, in seconds from the start of the load. ``latency_s`` is
    measured from that time.
    """

    group: str
    body: dict[str, Any]
    at_s: float
    latency_s: float
    code: int
    execution: str
    snapshot: int = 0
    shards: int = 0
    answered: int = 0
    missing: tuple[int, ...] = ()
    subrequests: int = 0
    hits: tuple[ReceivedHit, ...] = ()


def write_plan(plan: LoadPlan, path: Path) -> None:
    """Write a plan as JSON."""
    path.write_text(json.dumps(asdict(plan)), encoding="utf-8")


def read_plan(path: Path) -> LoadPlan:
    """Read a plan written by :func:`write_plan`."""
    raw = json.loads(path.read_text(encoding="utf-8"))
    streams = tuple(Stream(**stream) for stream in raw["streams"])
    return LoadPlan(streams, raw["seconds"], tuple(raw["targets"]), raw["seed"])


def write_outcomes(outcomes: list[Outcome], path: Path) -> None:
    """Write outcomes as JSON, one per line."""
    lines = [json.dumps(asdict(outcome)) for outcome in outcomes]
    path.write_text("\n".join(lines), encoding="utf-8")


def read_outcomes(path: Path) -> list[Outcome]:
    """Read outcomes written by :func:`write_outcomes`."""
    return [_outcome(json.loads(line)) for line in path.read_text(encoding="utf-8").splitlines()]


def _outcome(raw: dict[str, Any]) -> Outcome:
    hits = tuple(ReceivedHit(**hit) for hit in raw.pop("hits"))
    return Outcome(hits=hits, missing=tuple(raw.pop("missing")), **raw)
