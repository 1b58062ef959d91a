"""Selection of the daemons that read the platform's store themselves.

Load pattern: each change in the store ends every open watch, so the number of calls, which are
priced, grows with the number of changes times the number of daemons. Only a few daemons read the
store; each of the others follows one of these readers. Readers are strong daemons: a reader sends
every change to all its followers, and the network link of a small machine would delay them for
seconds when an index is resharded.

The store may turn some daemons away and serve the others. A daemon that it does not answer reports
that by gossip, and readers are selected from the others.

While the store is down, no reader can answer, and hundreds of followers would all call the store
until it is back. They keep asking the readers, which do so already, and turn to the store itself
after a time that spreads their calls evenly.

If readers lose power together, they do not refuse calls but are silent. Gossip suspects them
seconds later than a change must be known, so a follower takes a reader that did not answer for lost
at once, selects another one in its place, and calls the store after two silent readers in a row.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.hashing import stable_hash
from .membership import strong_members

if TYPE_CHECKING:
    from ..config.view import Address
    from .membership import MemberReport, Membership

MIN_READERS = 3
"""Minimum number of daemons that read the store; there is at least one in each failure domain."""
READER_BACKOFF_S = 3.0
"""Time for which a reader, or the store, is not used after a failure; gossip suspects a failed
reader after 5 s."""
TURNED_AWAY_S = 3.0
"""Time for which a daemon that the store did not answer is not selected as a reader. After that it
calls the store again if it would be one."""
STORE_FALLBACK_S = 1.5
"""Time without any answer after which a follower may call the store itself."""
FOLLOWER_CALLS_PER_S = 20.0
"""Maximum rate of such calls by the whole fleet."""
MAX_SILENT_READERS = 2
"""Number of readers in a row that did not answer after which a follower calls the store."""


class Readers:
    """The selection of the reader, or the store itself, from which this daemon reads."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._failed_until: dict[Address, float] = {}
        self._silent_at: dict[Address, float] = {}
        """When each reader that is silent last failed to answer."""
        self._silent_count = 0
        """Number of readers that did not answer since any source last did."""
        self._store_failed_until = 0.0
        self._turned_away_until = float("-inf")
        self._answered_at = float("-inf")
        self._store_called_at = float("-inf")

    def choose(self, now: float) -> Address | None:
        """Return the daemon to read from, or ``None`` for the store itself.

        A reader that has just failed to read the store reads from the other readers, since the
        store may still serve these.
        """
        if now >= self._turned_away_until:
            self._membership.set_turned_away(False)
        own = self._membership.own
        readers = self._readers(now)
        calls_store = own in readers or self._silent_count >= MAX_SILENT_READERS
        if calls_store and self._store_failed_until <= now:
            return None
        usable = [
            reader
            for reader in readers
            if reader != own and not self.is_avoided(reader.address, now)
        ]
        # Readers in the own failure domain come first, since traffic between domains is priced.
        # Beyond that, each daemon has its own order, which spreads the daemons over the readers.
        usable.sort(key=lambda r: (r.domain != own.domain, stable_hash(own.name, r.name)))
        if usable:
            return usable[0].address
        others = [reader.address for reader in readers if reader != own]
        if self._reads_for_others(now) or not others or self._may_call_store(now):
            return None
        return min(others, key=lambda address: self._failed_until.get(address, 0.0))

    def is_avoided(self, reader: Address, now: float) -> bool:
        """Return whether *reader* failed a short time ago."""
        return self._failed_until.get(reader, 0.0) > now

    def record_answer(self, now: float) -> None:
        """Record that a reader or the store has answered."""
        self._answered_at = now
        self._silent_count = 0

    def record_store_failure(self, now: float) -> None:
        """Avoid the store for a while if another reader is available."""
        self._store_failed_until = now + READER_BACKOFF_S
        self._store_called_at = now
        self._turned_away_until = now + TURNED_AWAY_S
        self._membership.set_turned_away(True)

    def record_store_answer(self) -> None:
        """Record that the store itself has answered."""
        self._turned_away_until = float("-inf")
        self._membership.set_turned_away(False)

    def _may_call_store(self, now: float) -> bool:
        """Return whether a follower that no reader answers should call the store itself."""
        interval_s = self._membership.possible_member_count() / FOLLOWER_CALLS_PER_S
        place = stable_hash("fallback", self._membership.own.name) % 1000 / 1000
        return (
            now - self._answered_at >= STORE_FALLBACK_S + place * interval_s
            and now - self._store_called_at >= interval_s
        )

    def record_failure(self, reader: Address, now: float, is_silent: bool = False) -> None:
        """Avoid for a while a reader that refused a call, or one that did not answer at all."""
        self._failed_until[reader] = now + READER_BACKOFF_S
        if is_silent:
            self._silent_at[reader] = now
            self._silent_count += 1

    def _reads_for_others(self, now: float) -> bool:
        """Return whether this daemon is a reader, or would be one if the store answered it."""
        return self._membership.own in self._select_readers(self._live(now))

    def _readers(self, now: float) -> list[MemberReport]:
        live = self._live(now)
        return self._select_readers([r for r in live if not r.is_turned_away] or live)

    def _live(self, now: float) -> list[MemberReport]:
        reports = [row.report for row in self._membership.alive(now)]
        return [self._membership.own, *(r for r in reports if not self._is_silent(r, now))]

    def _is_silent(self, report: MemberReport, now: float) -> bool:
        """Return whether a daemon did not answer, and no heartbeat has come from it since."""
        silent_at = self._silent_at.get(report.address)
        if silent_at is None:
            return False
        is_recent = now < silent_at + READER_BACKOFF_S
        return is_recent or self._membership.last_heartbeat_at(report.name) <= silent_at

    @staticmethod
    def _select_readers(live: list[MemberReport]) -> list[MemberReport]:
        domains = sorted({report.domain for report in live})
        strong = [strong_members(r for r in live if r.domain == domain) for domain in domains]
        readers = [min(reports, key=_rank) for reports in strong if reports]
        others = [r for r in live if not r.is_leaving and r not in readers]
        strongest = strong_members(live)
        others.sort(key=lambda report: (report not in strongest, _rank(report)))
        return readers + others[: max(0, MIN_READERS - len(readers))]


def _rank(report: MemberReport) -> int:
    return stable_hash("reader", report.name)
