"""Membership of the fleet of daemons, by gossip.

There is no central list of daemons. Each daemon increments a heartbeat and sends what it knows to a
few others. A member whose heartbeat stops increasing is suspected, then considered dead, and
finally forgotten (van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service",
1998). Fleet-wide limits are divided by the number of members that may still be sending, so a
network partition makes the shares too small, never too large.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from ..util.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..config.view import Address

SUSPECT_AFTER_S = 5.0
"""Time without a new heartbeat after which a member is suspected: twice the time in which gossip
reaches 75 members."""
REMOTE_SUSPECT_AFTER_S = 10.0
"""The same for members of other failure domains, which are reported less often; delegates and
readers there are only the second choice."""
DEAD_AFTER_S = 3.0
"""Further time without a heartbeat after which a suspected member is considered dead."""
FORGET_AFTER_S = 25.0
"""Time without a heartbeat after which a member is forgotten: longer than a machine stays cut off
from the network or frozen."""
REFERENCE_FLEET_SIZE = 75
"""Fleet size up to which these times apply. A datagram reports a bounded number of members, so
gossip takes proportionally longer in a larger fleet, and the times are scaled accordingly."""
FANOUT = 2
"""Number of members to which each round of gossip is sent."""
NEWCOMER_MAX_REPORTS = 8
"""Maximum number of reports in a datagram whose sender is considered a newcomer."""
URGENT_FANOUT = 3
"""Number of members of any failure domain to which urgent news are sent at once."""
REMOTE_ROUND_INTERVAL = 4
"""One round in this many is sent to another failure domain, since traffic there is priced."""
REMOTE_ROUNDS_PER_S = 2
"""Target number of those rounds per second for a whole failure domain, whatever its size."""
LOCAL_REPORT_COUNTS = (22, 25)
"""Reports of members of the own and of other failure domains in a datagram within the own domain,
3.5 kB."""
REMOTE_REPORT_COUNTS = (14, 2)
"""The same in a datagram to another failure domain, which fits into one packet."""
STRONG_SHARE = 0.5
"""Fraction of the strongest member's processor time from which a member is considered strong."""
ASSUMED_MEMBERS = 8
"""Number of members assumed until the first report of another daemon arrives."""


class MemberState(Enum):
    """The state of a member, as seen by the failure detector."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The report of one member, as exchanged between daemons."""

    name: str
    address: Address
    incarnation: int
    """Start of its process in Unix milliseconds."""
    heartbeat: int
    domain: str = ""
    cores: float = 1.0
    """Processor time that the daemon may use, in cores."""
    is_leaving: bool = False
    is_isolated: bool = False
    """Whether it reaches no backend server."""
    is_turned_away: bool = False
    """Whether the store has not answered it of late."""


@dataclass(slots=True)
class MemberRow:
    """The entry of one member in this daemon's table."""

    report: MemberReport
    last_heartbeat_at: float
    """When a higher heartbeat last arrived."""
    suspect_after_s: float = SUSPECT_AFTER_S

    def state(self, now: float, timeout_factor: float = 1.0) -> MemberState:
        """Return the state of the member at *now*.

        *timeout_factor* scales the time-outs to the size of the fleet.
        """
        silence_s = (now - self.last_heartbeat_at) / timeout_factor
        if silence_s >= self.suspect_after_s + DEAD_AFTER_S:
            return MemberState.DEAD
        return MemberState.SUSPECT if silence_s >= self.suspect_after_s else MemberState.ALIVE


def strong_members(reports: Iterable[MemberReport]) -> list[MemberReport]:
    """Return the members that are not leaving and have at least half the cores of the largest."""
    staying = [report for report in reports if not report.is_leaving]
    most = max((report.cores for report in staying), default=0.0)
    return [report for report in staying if report.cores >= STRONG_SHARE * most]


class Membership:
    """The table of members; it does no I/O and reads no clock.

    ::

        membership = Membership(own_report, seeds, now)
        for address in membership.next_round(now):
            send(address, membership.reports(now))
        membership.merge(received_reports, now)
    """

    def __init__(self, own: MemberReport, seeds: Iterable[Address], now: float) -> None:
        self.own = own
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._rows: dict[str, MemberRow] = {}
        self._round = 0
        self._urgent_count = 0
        self._last_round_at = now
        self._news: dict[str, MemberReport] = {}

    def rows(self) -> list[MemberRow]:
        """Return the entries of all other known members."""
        return list(self._rows.values())

    def last_heartbeat_at(self, name: str) -> float:
        """Return when a member's heartbeat last increased; minus infinity if it is not known."""
        row = self._rows.get(name)
        return row.last_heartbeat_at if row is not None else float("-inf")

    def possible_member_count(self) -> int:
        """Return how many daemons may be sending, including this one."""
        return len(self._rows) + 1 if self._rows else ASSUMED_MEMBERS

    def possible_member_names(self) -> tuple[str, ...]:
        """Return the names of the daemons that may be sending; unknown ones have made-up names."""
        known = {self.own.name, *self._rows}
        unknown_count = self.possible_member_count() - len(known)
        return (*sorted(known), *(f"unknown-{number}" for number in range(unknown_count)))

    def alive(self, now: float) -> list[MemberRow]:
        """Return the other members that are alive."""
        timeout_factor = self.timeout_factor
        return [
            row
            for row in self._rows.values()
            if row.state(now, timeout_factor) is MemberState.ALIVE
        ]

    @property
    def timeout_factor(self) -> float:
        """The factor by which time-outs are longer in a fleet of this size."""
        return max(1.0, len(self._rows) / REFERENCE_FLEET_SIZE)

    def next_round(self, now: float) -> list[Address]:
        """Increment the own heartbeat and return the addresses to send this round to.

        Members that are not alive get some rounds too, so that the two sides of a network partition
        find each other again. If this daemon itself was paused, it received nothing meanwhile, so
        the pause does not count as silence of the others.
        """
        pause_s = now - self._last_round_at
        if pause_s > SUSPECT_AFTER_S:
            for row in self._rows.values():
                row.last_heartbeat_at += pause_s
        self._last_round_at = now
        self._round += 1
        self.own = replace(self.own, heartbeat=self.own.heartbeat + 1)
        self._forget(now)
        return self._targets(now)

    def urgent_targets(self, now: float) -> list[Address]:
        """Return the addresses to send urgent news to, different ones each time.

        Each daemon that receives news sends them on, so they reach a fleet of any size within a few
        steps, without waiting for the rounds of gossip.
        """
        self._urgent_count += 1
        key = f"{self.own.name}:urgent:{self._urgent_count}"
        return self._pick({row.report.address for row in self.alive(now)}, URGENT_FANOUT, key)

    def reports(self, now: float, is_remote: bool = False) -> list[MemberReport]:
        """Return the reports to send: this daemon, then live members, different ones each round."""
        key = f"{self.own.name}:{self._round}"
        live = [row.report for row in self.alive(now)]
        live.sort(key=lambda report: stable_hash(key, report.name))
        own = [report for report in live if report.domain == self.own.domain]
        others = [report for report in live if report.domain != self.own.domain]
        # Datagrams to another domain tell it about this one, so they report mostly members of the
        # own domain, which come first within the domain too.
        own_count, other_count = REMOTE_REPORT_COUNTS if is_remote else LOCAL_REPORT_COUNTS
        return [self.own, *own[: own_count - 1], *others[:other_count]]

    def is_remote(self, address: Address) -> bool:
        """Return whether *address* is not known to belong to the own failure domain."""
        return all(
            row.report.address != address or row.report.domain != self.own.domain
            for row in self._rows.values()
        )

    def leave(self) -> None:
        """Report from now on that this daemon is stopping."""
        self.own = replace(self.own, is_leaving=True)

    def set_isolated(self, is_isolated: bool) -> None:
        """Report from now on whether this daemon reaches no backend server."""
        self._announce(is_isolated=is_isolated)

    def set_turned_away(self, is_turned_away: bool) -> None:
        """Report from now on whether the store does not answer this daemon."""
        if is_turned_away != self.own.is_turned_away:
            self._announce(is_turned_away=is_turned_away)

    def _announce(self, **changes: bool) -> None:
        self.own = replace(self.own, heartbeat=self.own.heartbeat + 1, **changes)
        self._news[self.own.name] = self.own

    def take_news(self) -> list[MemberReport]:
        """Return the reports that other daemons should have at once, this daemon's first."""
        news, self._news = self._news, {}
        others = [report for name, report in news.items() if name != self.own.name]
        return [self.own, *others] if news else []

    def merge(self, reports: Sequence[MemberReport], now: float) -> bool:
        """Merge reports from another daemon; return whether to answer them at once.

        A sender that is new to this daemon and knows few members gets its answer at once, so that a
        fleet that starts together is not slowed down by the few daemons that are seeds.
        """
        needs_answer = 0 < len(reports) <= NEWCOMER_MAX_REPORTS and self._is_new(reports[0])
        for report in reports:
            if report.name == self.own.name:
                self._raise_incarnation(report)
            else:
                self._merge_report(report, now)
        return needs_answer

    def _is_new(self, report: MemberReport) -> bool:
        known = self._rows.get(report.name)
        is_own = report.name == self.own.name
        return not is_own and (known is None or known.report.incarnation < report.incarnation)

    def _raise_incarnation(self, report: MemberReport) -> None:
        """Raise the own incarnation above one that others report for this daemon.

        The clock may have been ahead when the previous process started. The others would ignore the
        reports of this process until they have forgotten that incarnation.
        """
        if report.incarnation > self.own.incarnation:
            self.own = replace(self.own, incarnation=report.incarnation + 1)

    def _merge_report(self, report: MemberReport, now: float) -> None:
        row = self._rows.get(report.name)
        if row is None:
            is_local = report.domain == self.own.domain
            suspect_after_s = SUSPECT_AFTER_S if is_local else REMOTE_SUSPECT_AFTER_S
            self._rows[report.name] = MemberRow(report, now, suspect_after_s)
        elif _version_of(report) > _version_of(row.report):
            if _urgent_state(report) != _urgent_state(row.report):
                self._news[report.name] = report
            row.report = report
            row.last_heartbeat_at = now

    def _forget(self, now: float) -> None:
        for name, row in list(self._rows.items()):
            if now - row.last_heartbeat_at >= FORGET_AFTER_S * self.timeout_factor:
                del self._rows[name]

    def _targets(self, now: float) -> list[Address]:
        live = self.alive(now)
        local = {r.report.address for r in live if r.report.domain == self.own.domain}
        remote = {r.report.address for r in live} - local
        silent = {row.report.address for row in self._rows.values()} - local - remote
        interval = max(REMOTE_ROUND_INTERVAL, len(local) // REMOTE_ROUNDS_PER_S)
        is_remote_round = (self._round + stable_hash(self.own.name)) % interval == 0
        chosen = self._pick(local, FANOUT)
        if is_remote_round or len(chosen) < FANOUT:
            chosen += self._pick(remote, FANOUT - len(chosen) or 1)
        if is_remote_round or not live:
            chosen += self._pick(silent.union(self._seeds) - set(chosen), 1)
        return chosen if live else [*chosen, *(s for s in self._seeds if s not in chosen)]

    def _pick(self, addresses: Iterable[Address], count: int, key: str = "") -> list[Address]:
        """Return up to *count* of *addresses*, different ones for each *key* or round."""
        key = key or f"{self.own.name}:{self._round}"
        return sorted(addresses, key=lambda address: stable_hash(key, str(address)))[:count]


def _urgent_state(report: MemberReport) -> tuple[bool, bool]:
    """Return the part of a report of which a change must reach other daemons at once."""
    return report.is_isolated, report.is_turned_away


def _version_of(report: MemberReport) -> tuple[int, int]:
    return report.incarnation, report.heartbeat
