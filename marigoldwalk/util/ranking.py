"""Rendezvous hashing of many keys over names that come and go."""

from __future__ import annotations

from bisect import insort
from heapq import nsmallest
from typing import TYPE_CHECKING

from .hashing import rendezvous_entries, rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .hashing import RendezvousEntry

KEPT_COUNT = 8
"""Names kept for each key, the first ones in its order."""
LEAST_KEPT_COUNT = 4
"""Names below which a key's order is worked out again."""


class Ranking:
    """Keep the first names in the rendezvous order of each key.

    The order is that of :func:`rendezvous_order`. A change of the names costs one hash for each
    key and new name, and a whole new order only for keys that have lost most of what was kept::

        ranking = Ranking()
        ranking.set_names(["m-1", "m-2"])
        ranking.first("block")
    """

    def __init__(self) -> None:
        self._names: dict[str, None] = {}
        self._kept: dict[str, list[RendezvousEntry]] = {}

    def set_names(self, names: Iterable[str]) -> None:
        """Replace the names that are ranked."""
        wanted = dict.fromkeys(names)
        gone = self._names.keys() - wanted.keys()
        come = [name for name in wanted if name not in self._names]
        for name in gone:
            del self._names[name]
        for key, kept in self._kept.items():
            self._kept[key] = self._change(key, kept, gone, come)
        self._names.update(dict.fromkeys(come))

    def first(self, key: str) -> list[str]:
        """Return the first names in the order of *key*, at least two if there are two."""
        kept = self._kept.get(key, [])
        if len(kept) < min(LEAST_KEPT_COUNT, len(self._names)):
            kept = self._kept[key] = nsmallest(KEPT_COUNT, rendezvous_entries(key, self._names))
        return [name for _, name in kept]

    def order(self, key: str) -> list[str]:
        """Return all names in the order of *key*; costs a hash for each name."""
        return rendezvous_order(key, self._names)

    def is_complete(self, names: list[str]) -> bool:
        """Return whether *names*, the first of some key, are all there are."""
        return len(names) == len(self._names)

    def discard(self, key: str) -> None:
        """Drop what is kept for *key*."""
        self._kept.pop(key, None)

    def _change(
        self, key: str, kept: list[RendezvousEntry], gone: set[str], come: list[str]
    ) -> list[RendezvousEntry]:
        """Return the entries of *key* after a change; shorter ones are still the first."""
        left = [entry for entry in kept if entry[1] not in gone] if gone else kept
        whole = len(left) == len(self._names)
        if not left and not whole:
            return left
        # Names that are not kept sort after the last entry; a newcomer may sort after them too.
        last = None if whole else left[-1]
        for entry in rendezvous_entries(key, come):
            if last is None or entry < last:
                insort(left, entry)
        return left[:KEPT_COUNT]
