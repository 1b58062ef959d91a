"""Which daemons read the platform's store themselves.

Load pattern: each change in the store ends every waiting watch, so the calls grow with changes
times daemons, and each is priced. A few daemons read the store; the others ask one of these. These
are strong ones: a reader sends every change to all its followers, and a small machine's link would
hold them up for seconds when an index is cut anew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.hashing import stable_hash
from .membership import strong_members

if TYPE_CHECKING:
    from ..config.view import Address
    from .membership import MemberReport, Membership

READERS = 3
"""Daemons that read the store: one in each failure domain, and at least as many as this."""
LEFT_ALONE_S = 3.0
"""Time for which a reader that failed is not asked again; gossip suspects it after 5 s."""


class Readers:
    """Choose where this daemon reads."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._failed_until: dict[Address, float] = {}
        self._store_failed_until = 0.0

    def source(self, now: float) -> Address | None:
        """Return the daemon to ask, or ``None`` for the store itself.

        A reader that the store has just turned away asks the other readers, as the store may serve
        these.
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
        # The own failure domain goes first, since bytes between domains are priced; after that
        # each daemon has an order of its own, so that they spread over the readers.
        usable.sort(key=lambda r: (r.domain != own.domain, stable_hash(own.name, r.name)))
        return usable[0].address if usable else None

    def record_store_failure(self, now: float) -> None:
        """Leave the store alone for a while if another reader can be asked."""
        self._store_failed_until = now + LEFT_ALONE_S

    def record_failure(self, source: Address, now: float) -> None:
        """Leave a reader that did not answer alone for a while."""
        self._failed_until[source] = now + LEFT_ALONE_S

    def _readers(self, now: float) -> list[MemberReport]:
        own = self._membership.own
        live = [own, *(row.report for row in self._membership.alive(now))]
        domains = sorted({report.domain for report in live})
        strong = [strong_members(r for r in live if r.domain == domain) for domain in domains]
        readers = [min(reports, key=_order) for reports in strong if reports]
        others = [r for r in live if not r.is_leaving and r not in readers]
        strongest = strong_members(live)
        others.sort(key=lambda report: (report not in strongest, _order(report)))
        return readers + others[: max(0, READERS - len(readers))]


def _order(report: MemberReport) -> int:
    return stable_hash("reader", report.name)
