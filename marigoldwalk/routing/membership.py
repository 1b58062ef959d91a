"""Which daemons there are, learned by gossip.

Nobody lists the daemons. Each one counts up a heartbeat and tells a few others all that it knows;
a member whose heartbeat no longer rises is suspected, then counted out, and forgotten last of all
(van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service", 1998). Shares of
fleet-wide limits are divided by every member that may still be sending, so a cut makes shares too
small and never too large.
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
"""Silence after which a member is suspected: twice what news takes through 75 members."""
FAR_SUSPECT_AFTER_S = 10.0
"""The same for members of other failure domains, which are told of less often; carriers and readers
there are the second choice only."""
DEAD_AFTER_S = 3.0
"""Further silence after which a suspected member counts as gone."""
FORGET_AFTER_S = 25.0
"""Silence after which a member is forgotten: longer than a machine is cut off or frozen."""
TUNED_MEMBERS = 75
"""Members up to which these times hold. A datagram tells of a bounded number of members, so in a
larger fleet news takes longer in proportion, and so do they."""
FANOUT = 2
"""Members that each round of gossip is told to."""
FEW_MEMBERS = 8
"""Members in a datagram up to which its sender is taken to know few."""
REMOTE_EVERY = 4
"""Rounds of which one goes to another failure domain, where bytes are priced."""
REMOTE_ROUNDS = 2
"""Such rounds a second and failure domain that are enough, however many members it has."""
NEAR_TOLD = (22, 25)
"""Members of the own failure domain and of others in one datagram within it, 3.5 kB."""
FAR_TOLD = (14, 2)
"""The same in one to another failure domain, which fits into one packet."""
STRONG_SHARE = 0.5
"""Part of the strongest member's processor time from which a member counts as strong."""
UNKNOWN_MEMBERS = 8
"""Members assumed before any other daemon was heard of."""


class MemberState(Enum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class MemberReport:
    """One member, as a daemon tells of it."""

    name: str
    address: Address
    incarnation: int
    """Start of its process in Unix milliseconds."""
    heartbeat: int
    domain: str = ""
    cores: float = 1.0
    """Processor time that the daemon may use, in cores."""
    is_leaving: bool = False


@dataclass(slots=True)
class MemberRow:
    """One member, as this daemon knows it."""

    report: MemberReport
    heard_at: float
    """When its heartbeat last rose."""
    suspect_after_s: float = SUSPECT_AFTER_S

    def state(self, now: float, timeout_factor: float = 1.0) -> MemberState:
        """Return what is believed of the member at *now*.

        *slowness* is how much longer than usual news takes in the fleet.
        """
        silence_s = (now - self.heard_at) / timeout_factor
        if silence_s >= self.suspect_after_s + DEAD_AFTER_S:
            return MemberState.DEAD
        return MemberState.SUSPECT if silence_s >= self.suspect_after_s else MemberState.ALIVE


def strong_members(reports: Iterable[MemberReport]) -> list[MemberReport]:
    """Return the members that stay and have at least half as much processor time as any of them."""
    staying = [report for report in reports if not report.is_leaving]
    most = max((report.cores for report in staying), default=0.0)
    return [report for report in staying if report.cores >= STRONG_SHARE * most]


class Membership:
    """The table of members; performs nothing and reads no clock.

    ::

        membership = Membership(own_report, seeds)
        for address in membership.targets(now):
            send(address, membership.reports(now))
        membership.hear(received_reports, now)
    """

    def __init__(self, own: MemberReport, seeds: Iterable[Address], now: float) -> None:
        self.own = own
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._rows: dict[str, MemberRow] = {}
        self._round = 0
        self._last_round_at = now

    def rows(self) -> list[MemberRow]:
        """Return the other members that are not forgotten."""
        return list(self._rows.values())

    def heard_at(self, name: str) -> float:
        """Return when news of a member arrived last, long ago if it is not known."""
        row = self._rows.get(name)
        return row.heard_at if row is not None else float("-inf")

    def possible_member_count(self) -> int:
        """Return how many daemons may be sending, this one included."""
        return len(self._rows) + 1 if self._rows else UNKNOWN_MEMBERS

    def alive(self, now: float) -> list[MemberRow]:
        """Return the other members that are not silent."""
        timeout_factor = self.timeout_factor
        return [
            row
            for row in self._rows.values()
            if row.state(now, timeout_factor) is MemberState.ALIVE
        ]

    @property
    def timeout_factor(self) -> float:
        """How much longer than usual news takes in a fleet of this size."""
        return max(1.0, len(self._rows) / TUNED_MEMBERS)

    def next_round(self, now: float) -> list[Address]:
        """Count the own heartbeat up and return whom to tell this time.

        Silent members are told now and then too, so that both sides of a cut find each other.
        After a pause of its own, a daemon has heard nothing and blames nobody for it.
        """
        pause_s = now - self._last_round_at
        if pause_s > SUSPECT_AFTER_S:
            for row in self._rows.values():
                row.heard_at += pause_s
        self._last_round_at = now
        self._round += 1
        self.own = replace(self.own, heartbeat=self.own.heartbeat + 1)
        self._forget(now)
        return self._targets(now)

    def reports(self, now: float, is_remote: bool = False) -> list[MemberReport]:
        """Return what to tell: this daemon first, then members that live, others each round."""
        key = f"{self.own.name}:{self._round}"
        live = [row.report for row in self.alive(now)]
        live.sort(key=lambda report: stable_hash(key, report.name))
        own = [report for report in live if report.domain == self.own.domain]
        others = [report for report in live if report.domain != self.own.domain]
        # Each domain learns of another one from there; its own members come first at home too.
        own_count, other_count = FAR_TOLD if is_remote else NEAR_TOLD
        return [self.own, *own[: own_count - 1], *others[:other_count]]

    def is_remote(self, address: Address) -> bool:
        """Return whether *address* is not known to be in the own failure domain."""
        return all(
            row.report.address != address or row.report.domain != self.own.domain
            for row in self._rows.values()
        )

    def leave(self) -> None:
        """Tell from now on that this daemon is stopping."""
        self.own = replace(self.own, is_leaving=True)

    def merge(self, reports: Sequence[MemberReport], now: float) -> bool:
        """Take in what another daemon tells; returns whether it should be welcomed.

        A sender that is new here and knows few others gets an answer with members at once, so that
        a fleet that starts together is not held up by the few daemons that seeds name.
        """
        is_welcome = 0 < len(reports) <= FEW_MEMBERS and self._is_new(reports[0])
        for report in reports:
            if report.name == self.own.name:
                self._outdo(report)
            else:
                self._hear_one(report, now)
        return is_welcome

    def _is_new(self, report: MemberReport) -> bool:
        known = self._rows.get(report.name)
        is_own = report.name == self.own.name
        return not is_own and (known is None or known.report.incarnation < report.incarnation)

    def _outdo(self, report: MemberReport) -> None:
        """Take an incarnation above one that others know of this daemon.

        The time of day may have been ahead when the process before this one started; the others
        would pass over what this one tells until they have forgotten the other.
        """
        if report.incarnation > self.own.incarnation:
            self.own = replace(self.own, incarnation=report.incarnation + 1)

    def _hear_one(self, report: MemberReport, now: float) -> None:
        row = self._rows.get(report.name)
        if row is None:
            is_near = report.domain == self.own.domain
            patience_s = SUSPECT_AFTER_S if is_near else FAR_SUSPECT_AFTER_S
            self._rows[report.name] = MemberRow(report, now, patience_s)
        elif _order(report) > _order(row.report):
            row.report = report
            row.heard_at = now

    def _forget(self, now: float) -> None:
        for name, row in list(self._rows.items()):
            if now - row.heard_at >= FORGET_AFTER_S * self.timeout_factor:
                del self._rows[name]

    def _targets(self, now: float) -> list[Address]:
        live = self.alive(now)
        near = {r.report.address for r in live if r.report.domain == self.own.domain}
        far = {r.report.address for r in live} - near
        silent = {row.report.address for row in self._rows.values()} - near - far
        every = max(REMOTE_EVERY, len(near) // REMOTE_ROUNDS)
        is_remote_round = (self._round + stable_hash(self.own.name)) % every == 0
        chosen = self._pick(near, FANOUT)
        if is_remote_round or len(chosen) < FANOUT:
            chosen += self._pick(far, FANOUT - len(chosen) or 1)
        if is_remote_round or not live:
            chosen += self._pick(silent.union(self._seeds) - set(chosen), 1)
        return chosen if live else [*chosen, *(s for s in self._seeds if s not in chosen)]

    def _pick(self, addresses: Iterable[Address], count: int) -> list[Address]:
        """Return *count* of *addresses*, others in each round."""
        key = f"{self.own.name}:{self._round}"
        return sorted(addresses, key=lambda address: stable_hash(key, str(address)))[:count]


def _order(report: MemberReport) -> tuple[int, int]:
    return report.incarnation, report.heartbeat
