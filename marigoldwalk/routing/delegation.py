"""Which daemons carry wide queries where not every daemon can.

Load pattern: a fleet so large that each daemon sees few queries and may hold less than two
connections to a server. Then connections are always new, pauses are noticed by nobody, and small
machines take longer over a query than its target. So a few daemons of each failure domain, the
strong ones, carry the wide queries of the others. In a small fleet every daemon carries its own.

Carriers that lose power would cost each other daemon several queries until gossip suspects them.
One failure is enough to leave a carrier alone until news of it arrives. When none is left in the
own failure domain, those of other domains carry: only a request and a merged answer cross over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..util.hashing import stable_hash
from .membership import strong_members

if TYPE_CHECKING:
    from .membership import MemberReport, Membership

LEAST_CONNECTIONS = 2.0
"""Connections to a server below which a daemon cannot carry wide queries well."""
CARRIER_CONNECTIONS = 4
"""Connections to a server that a carrier should be able to hold: two slots, used twice."""
CARRIER_SHARE = 0.8
"""Part of what the fleet may send that carriers use; the rest is for daemons without one."""
PASS_OVER_S = 1.0
"""Least time for which a carrier that failed is left alone; gossip suspects it after 5 s."""


@dataclass(slots=True)
class Delegation:
    """Choose carriers among the members.

    :meth:`update` is called when members or configuration change, and :meth:`choose` for each wide
    query.
    """

    membership: Membership
    is_needed: bool = False
    delegates: dict[str, MemberReport] = field(default_factory=dict)
    """The carriers of the own failure domain by name, this daemon included if it is one."""
    far_carriers: dict[str, MemberReport] = field(default_factory=dict)
    """The carriers of the other failure domains by name."""
    shard_share: float = 1.0
    """This daemon's share of what the fleet may send to the servers of shards."""
    _failed_at: dict[str, float] = field(default_factory=dict)
    _open: dict[str, int] = field(default_factory=dict)

    def update(self, max_connections: int, now: float) -> None:
        """Work out the carriers; *max_connections* is the least that a shard's server takes."""
        members = self.membership.possible_member_count()
        self.is_needed = max_connections / members < LEAST_CONNECTIONS
        if not self.is_needed:
            self.delegates = {}
            self.far_carriers = {}
            self.shard_share = 1 / members
            return
        live = [self.membership.own, *(row.report for row in self.membership.alive(now))]
        domains = {report.domain for report in live}
        count = max(1, int(CARRIER_SHARE * max_connections / CARRIER_CONNECTIONS / len(domains)))
        by_domain = {domain: _carriers(live, domain, count) for domain in domains}
        total = sum(len(reports) for reports in by_domain.values())
        own = by_domain.pop(self.membership.own.domain)
        self.delegates = {report.name: report for report in own}
        far = (report for reports in by_domain.values() for report in reports)
        self.far_carriers = {report.name: report for report in far}
        if self.membership.own.name in self.delegates:
            self.shard_share = CARRIER_SHARE / total
        else:
            self.shard_share = (1 - CARRIER_SHARE) / members

    def choose(self, now: float) -> MemberReport | None:
        """Return the daemon that should carry a wide query, or ``None`` for this one."""
        if not self.is_needed or self.membership.own.name in self.delegates:
            return None
        usable = self._usable(self.delegates, now) or self._usable(self.far_carriers, now)
        return min(usable, key=self._load, default=None)

    def _usable(self, delegates: dict[str, MemberReport], now: float) -> list[MemberReport]:
        return [report for report in delegates.values() if not self._is_passed_over(report, now)]

    def _is_passed_over(self, report: MemberReport, now: float) -> bool:
        """Return whether a carrier failed and nothing has been heard of it since."""
        failed_at = self._failed_at.get(report.name)
        if failed_at is None:
            return False
        return now < failed_at + PASS_OVER_S or self.membership.heard_at(report.name) <= failed_at

    def begin(self, carrier: MemberReport) -> None:
        """Note that a query goes to *carrier*."""
        self._open[carrier.name] = self._open.get(carrier.name, 0) + 1

    def end(self, carrier: MemberReport, failed: bool, now: float) -> None:
        """Note that a query came back from *carrier*, or that it failed."""
        self._open[carrier.name] -= 1
        if failed:
            self._failed_at[carrier.name] = now

    def _load(self, report: MemberReport) -> tuple[float, int, str]:
        open_count = self._open.get(report.name, 0)
        # Each daemon breaks ties in an order of its own, so that they spread over the carriers.
        order = stable_hash(self.membership.own.name, report.name)
        return open_count / report.cores, order, report.name


def _carriers(live: list[MemberReport], domain: str, count: int) -> list[MemberReport]:
    """Return the strong members of *domain* that stay, at most *count*."""
    strong = strong_members(report for report in live if report.domain == domain)
    return sorted(strong, key=lambda report: stable_hash(domain, report.name))[:count]
