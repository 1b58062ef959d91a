"""Selection of the daemons that read the platform's store themselves.

Load pattern: each change in the store ends every open watch, so the number of calls, which are
priced, grows with the number of changes times the number of daemons. Only a few daemons read the
store; each of the others follows one of these readers. Readers are strong daemons: a reader sends
every change to all its followers, and the network link of a small machine would delay them for
seconds when an index is resharded.
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


class Readers:
    """The selection of the reader, or the store itself, from which this daemon reads."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._failed_until: dict[Address, float] = {}
        self._store_failed_until = 0.0

    def choose(self, now: float) -> Address | None:
        """Return the daemon to read from, or ``None`` for the store itself.

        A reader that has just failed to read the store reads from the other readers, since the
        store may still serve these.
        """
        own = self._membership.own
        readers = self._readers(now)
        if own in readers and self._store_failed_until <= now:
            return None
        usable = [
            reader
            for reader in readers
            if reader != own and self._failed_until.get(reader.address, 0.0) <= now
        ]
        # Readers in the own failure domain come first, since traffic between domains is priced.
        # Beyond that, each daemon has its own order, which spreads the daemons over the readers.
        usable.sort(key=lambda r: (r.domain != own.domain, stable_hash(own.name, r.name)))
        return usable[0].address if usable else None

    def record_store_failure(self, now: float) -> None:
        """Avoid the store for a while if another reader is available."""
        self._store_failed_until = now + READER_BACKOFF_S

    def record_failure(self, reader: Address, now: float) -> None:
        """Avoid for a while a reader that did not answer."""
        self._failed_until[reader] = now + READER_BACKOFF_S

    def _readers(self, now: float) -> list[MemberReport]:
        own = self._membership.own
        live = [own, *(row.report for row in self._membership.alive(now))]
        domains = sorted({report.domain for report in live})
        strong = [strong_members(r for r in live if r.domain == domain) for domain in domains]
        readers = [min(reports, key=_rank) for reports in strong if reports]
        others = [r for r in live if not r.is_leaving and r not in readers]
        strongest = strong_members(live)
        others.sort(key=lambda report: (report not in strongest, _rank(report)))
        return readers + others[: max(0, MIN_READERS - len(readers))]


def _rank(report: MemberReport) -> int:
    return stable_hash("reader", report.name)
