"""Internal events: timers, and what one system tells the others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tables import AttemptRow


@dataclass(frozen=True, slots=True)
class QueryDue:
    """A query must be answered now."""

    query: int


@dataclass(frozen=True, slots=True)
class TrialDue:
    """A query has waited long enough for the latest of its content's trials."""

    query: int
    trials: int
    """How many trials it had begun."""


@dataclass(frozen=True, slots=True)
class ResendDue:
    """Shards whose home refused them should be sent again."""

    query: int
    shards: frozenset[int]


@dataclass(frozen=True, slots=True)
class JobAnswerDue:
    """A job may now be answered with what it has."""

    job: int


@dataclass(frozen=True, slots=True)
class JobDue:
    """A job must be answered now."""

    job: int


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """An attempt has run longer than most."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ServerDue:
    """A server may take work again after a pause."""

    server: str


@dataclass(frozen=True, slots=True)
class ProbeDue:
    """A server's health should be read."""

    server: str


@dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """Heartbeats should be sent and silent peers noticed."""


@dataclass(frozen=True, slots=True)
class BlockDue:
    """A block's entitlement or status should be looked at again."""

    block: str


@dataclass(frozen=True, slots=True)
class AttemptFreed:
    """A cancelled attempt has surely left its server."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ServerRestarted:
    """A server was lost or came back as another incarnation.

    ``attempts`` are those whose content may be the cause; there are none when the server
    restarted while idle.
    """

    server: str
    attempts: tuple[AttemptRow, ...]


@dataclass(frozen=True, slots=True)
class ServerFoundAlive:
    """A broken connection turned out not to be a server's death."""

    server: str


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """Another configuration document came in force."""


@dataclass(frozen=True, slots=True)
class InstancesChanged:
    """The set of listed or leaving daemons changed."""


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """A daemon became reachable or unreachable, or restarted."""

    peer: str


@dataclass(frozen=True, slots=True)
class TrialEnded:
    """A content's trial on one server is over."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class ClaimDue:
    """A claim has waited long enough for its witnesses."""

    request_id: str
    claim: int


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """A query's request id is promised to this daemon by a majority of its witnesses."""

    query: int


@dataclass(frozen=True, slots=True)
class PruneDue:
    """Old entries of the memory tables should be dropped."""


@dataclass(frozen=True, slots=True)
class StopDue:
    """A planned stop should be looked at again."""
