"""Delegation of fan-out queries to a few daemons of a large fleet.

Load pattern: a fleet so large that each daemon sees few queries and may open fewer than two
connections to a server. Every connection is then new, no daemon notices that a server pauses, and
small machines need more time for a query than its target. Therefore a few strong daemons of each
failure domain, the delegates, execute these queries for the others. In a small fleet every daemon
executes its own.

If delegates lose power, each other daemon would lose several queries before gossip suspects them.
So a single failure is enough to avoid a delegate until its next heartbeat arrives. If no delegate
is left in the own failure domain, those of other domains are used: only the request and the merged
answer cross between domains.

When all daemons start at the same moment, the strong ones are ready a second before the others,
which are still busy with their start when the first queries arrive. A weak daemon hands these to
strong ones until it has had time to learn how large the fleet is, also in a small fleet. Shares of
the fleet-wide limits do not depend on this.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..util.hashing import stable_hash
from .membership import strong_members

if TYPE_CHECKING:
    from .membership import MemberReport, Membership

MIN_CONNECTIONS = 2.0
"""Connections to a server per daemon below which fan-out queries are delegated, since daemons with
fewer cannot execute them well."""
DELEGATE_CONNECTIONS = 4
"""Connections to a server that a delegate should be able to open: two for each of two slots."""
DELEGATE_SHARE = 0.8
"""Fraction of the fleet-wide limits for delegates; the rest is for daemons without a delegate."""
DELEGATE_BACKOFF_S = 1.0
"""Minimum time for which a failed delegate is avoided; gossip suspects it after 5 s."""
STARTING_S = 2.0
"""Time after the start for which a weak daemon hands fan-out queries to strong ones: gossip finds
nearly all members within it."""


@dataclass(slots=True)
class Delegation:
    """The selection of delegates among the members.

    :meth:`update` is called when the members or the configuration change, and :meth:`choose` for
    each fan-out query.
    """

    membership: Membership
    started_at: float = float("-inf")
    is_needed: bool = False
    delegates: dict[str, MemberReport] = field(default_factory=dict)
    """The delegates of the own failure domain by name, including this daemon if it is one."""
    remote_delegates: dict[str, MemberReport] = field(default_factory=dict)
    """The delegates of the other failure domains by name."""
    shard_share: float = 1.0
    """This daemon's share of the fleet-wide limits for the servers of shards."""
    _failed_at: dict[str, float] = field(default_factory=dict)
    _open: dict[str, int] = field(default_factory=dict)

    def update(self, max_connections: int, now: float) -> None:
        """Select the delegates; *max_connections* is the lowest limit of any shard's servers."""
        members = self.membership.possible_member_count()
        self.is_needed = max_connections / members < MIN_CONNECTIONS
        if not self.is_needed:
            self.delegates = {}
            self.remote_delegates = {}
            self.shard_share = 1 / members
            return
        live = [self.membership.own, *(row.report for row in self.membership.alive(now))]
        live = [report for report in live if not report.is_isolated]
        domains = {self.membership.own.domain, *(report.domain for report in live)}
        count = max(1, int(DELEGATE_SHARE * max_connections / DELEGATE_CONNECTIONS / len(domains)))
        by_domain = {domain: _choose_delegates(live, domain, count) for domain in domains}
        total = sum(len(reports) for reports in by_domain.values())
        own = by_domain.pop(self.membership.own.domain)
        self.delegates = {report.name: report for report in own}
        remote = (report for reports in by_domain.values() for report in reports)
        self.remote_delegates = {report.name: report for report in remote}
        if self.is_delegate:
            self.shard_share = DELEGATE_SHARE / total
        else:
            self.shard_share = (1 - DELEGATE_SHARE) / members

    @property
    def is_delegate(self) -> bool:
        """Whether this daemon executes the queries of others."""
        return self.membership.own.name in self.delegates

    @property
    def all_delegate_names(self) -> tuple[str, ...]:
        """The names of the delegates of all failure domains."""
        return tuple(sorted({*self.delegates, *self.remote_delegates}))

    def choose(self, now: float) -> MemberReport | None:
        """Return the daemon that should execute a query, or ``None`` for this daemon."""
        if not self.is_needed:
            return self._choose_while_starting(now)
        if self.is_delegate:
            return None
        usable = self._usable(self.delegates, now) or self._usable(self.remote_delegates, now)
        return min(usable, key=self._load, default=None)

    def _choose_while_starting(self, now: float) -> MemberReport | None:
        """Return a strong daemon if this one is weak and has just started."""
        if now - self.started_at >= STARTING_S:
            return None
        own = self.membership.own
        alive = [row.report for row in self.membership.alive(now)]
        strong = strong_members([own, *alive])
        if own in strong:
            return None
        connected = {report.name: report for report in strong if not report.is_isolated}
        local = {name: r for name, r in connected.items() if r.domain == own.domain}
        usable = self._usable(local, now) or self._usable(connected, now)
        return min(usable, key=self._load, default=None)

    def choose_connected(self, is_query: bool, now: float) -> MemberReport | None:
        """Return the daemon that executes a request for this one, which reaches no server.

        Fan-out queries go to delegates if there are any.
        """
        usable = []
        if is_query:
            usable = self._usable({**self.delegates, **self.remote_delegates}, now)
        if not usable:
            reports = (row.report for row in self.membership.alive(now))
            connected = {r.name: r for r in reports if not r.is_leaving and not r.is_isolated}
            usable = self._usable(connected, now)
        return min(usable, key=self._load_and_distance, default=None)

    def _usable(self, delegates: dict[str, MemberReport], now: float) -> list[MemberReport]:
        return [report for report in delegates.values() if not self._is_in_backoff(report, now)]

    def _is_in_backoff(self, report: MemberReport, now: float) -> bool:
        """Return whether a delegate failed recently or has sent no heartbeat since it failed."""
        failed_at = self._failed_at.get(report.name)
        if failed_at is None:
            return False
        return (
            now < failed_at + DELEGATE_BACKOFF_S
            or self.membership.last_heartbeat_at(report.name) <= failed_at
        )

    def record_start(self, delegate: MemberReport) -> None:
        """Record that a query is sent to *delegate*."""
        self._open[delegate.name] = self._open.get(delegate.name, 0) + 1

    def record_end(self, delegate: MemberReport, failed: bool, now: float) -> None:
        """Record the end of a query sent to *delegate*, and whether it failed."""
        self._open[delegate.name] -= 1
        if failed:
            self._failed_at[delegate.name] = now

    def record_overdue(self, delegate: MemberReport, now: float) -> None:
        """Record that a query sent to *delegate* is overdue, so that it is avoided for now."""
        self._failed_at[delegate.name] = now

    def _load_and_distance(self, report: MemberReport) -> tuple[float, bool, int, str]:
        load, *order = self._load(report)
        return load, report.domain != self.membership.own.domain, *order

    def _load(self, report: MemberReport) -> tuple[float, int, str]:
        open_count = self._open.get(report.name, 0)
        # Each daemon has its own order among ties, which spreads the daemons over the delegates.
        order = stable_hash(self.membership.own.name, report.name)
        return open_count / report.cores, order, report.name


def _choose_delegates(live: list[MemberReport], domain: str, count: int) -> list[MemberReport]:
    """Return up to *count* strong members of *domain* that are not leaving."""
    strong = strong_members(report for report in live if report.domain == domain)
    return sorted(strong, key=lambda report: stable_hash(domain, report.name))[:count]
