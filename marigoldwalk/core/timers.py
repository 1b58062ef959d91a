"""Internal events: timers, and events that one system raises for others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tables import AttemptRow


@dataclass(frozen=True, slots=True)
class QueryDue:
    """A query has reached its deadline and must be answered."""

    query: int


@dataclass(frozen=True, slots=True)
class TrialDue:
    """A query has waited long enough for its latest trial."""

    query: int
    trials: int
    """Number of trials that the query had begun when the timer was set."""


@dataclass(frozen=True, slots=True)
class ResendDue:
    """Shards that a home refused are due to be sent again."""

    query: int
    shards: frozenset[int]


@dataclass(frozen=True, slots=True)
class JobAnswerDue:
    """A job may now be answered with the shards that have results."""

    job: int


@dataclass(frozen=True, slots=True)
class JobDue:
    """A job has reached its deadline and must be answered."""

    job: int


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """An attempt has run for as long as the hedge delay."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ServerDue:
    """The backoff of a server is over."""

    server: str


@dataclass(frozen=True, slots=True)
class ProbeDue:
    """A server is due for a health probe."""

    server: str


@dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """Heartbeats are due, and peers that stopped sending theirs are to be detected."""


@dataclass(frozen=True, slots=True)
class BlockDue:
    """The allowance of a block is due to be recomputed."""

    block: str


@dataclass(frozen=True, slots=True)
class AttemptFreed:
    """A cancelled attempt can no longer be running at its server."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ServerRestarted:
    """A server was lost, or came back as another incarnation.

    ``attempts`` are those whose content may be the cause; it is empty if the server restarted
    while idle.
    """

    server: str
    attempts: tuple[AttemptRow, ...]


@dataclass(frozen=True, slots=True)
class ServerFoundAlive:
    """A server turned out to be alive after one of its connections broke."""

    server: str


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """Another configuration document became active."""


@dataclass(frozen=True, slots=True)
class InstancesChanged:
    """The set of daemons that are listed or leaving changed."""


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """A daemon became reachable or unreachable, or restarted."""

    peer: str


@dataclass(frozen=True, slots=True)
class TrialEnded:
    """The trial of some content on one server has ended."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class ClaimDue:
    """A claim has waited long enough for the answers of its witnesses."""

    request_id: str
    claim: int


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """A majority of witnesses has promised a query's request id to this daemon."""

    query: int


@dataclass(frozen=True, slots=True)
class PruneDue:
    """Expired entries of the tables are due to be removed."""


@dataclass(frozen=True, slots=True)
class StopDue:
    """The progress of a planned stop is due to be checked."""
