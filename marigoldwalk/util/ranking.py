"""Rendezvous hashing of many keys over a changing set of names."""

from __future__ import annotations

from bisect import insort
from heapq import nsmallest
from typing import TYPE_CHECKING

from .hashing import rendezvous_entries, rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .hashing import RendezvousEntry

MAX_KEPT_COUNT = 8
"""Number of names kept for each key, the first ones in its order."""
MIN_KEPT_COUNT = 4
"""If fewer names than this remain for a key, its order is computed again."""


class Ranking:
    """Keeps the first names in the rendezvous order of each key.

    The order is that of :func:`rendezvous_order`. A change of the names costs one hash for each
    pair of key and new name. Only keys that have lost most of their kept names need a complete
    new order::

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
        removed = self._names.keys() - wanted.keys()
        added = [name for name in wanted if name not in self._names]
        for name in removed:
            del self._names[name]
        for key, kept in self._kept.items():
            self._kept[key] = self._updated_entries(key, kept, removed, added)
        self._names.update(dict.fromkeys(added))

    def first(self, key: str) -> list[str]:
        """Return the first names in the order of *key*, at least two if there are two."""
        kept = self._kept.get(key, [])
        if len(kept) < min(MIN_KEPT_COUNT, len(self._names)):
            kept = self._kept[key] = nsmallest(MAX_KEPT_COUNT, rendezvous_entries(key, self._names))
        return [name for _, name in kept]

    def order(self, key: str) -> list[str]:
        """Return all names in the order of *key*; computes a hash for each name."""
        return rendezvous_order(key, self._names)

    def is_complete(self, names: list[str]) -> bool:
        """Return whether *names*, the first names of some key, are all ranked names."""
        return len(names) == len(self._names)

    def discard(self, key: str) -> None:
        """Discard the names kept for *key*."""
        self._kept.pop(key, None)

    def _updated_entries(
        self, key: str, kept: list[RendezvousEntry], removed: set[str], added: list[str]
    ) -> list[RendezvousEntry]:
        """Return the entries of *key* after a change of the names.

        The result may be shorter than *kept*, but its names are still the first in the order.
        """
        remaining = [entry for entry in kept if entry[1] not in removed] if removed else kept
        complete = len(remaining) == len(self._names)
        if not remaining and not complete:
            return remaining
        # Names that are not kept sort after the last entry. A new name that also sorts after it
        # may come after some of them, so it is not kept either.
        last = None if complete else remaining[-1]
        for entry in rendezvous_entries(key, added):
            if last is None or entry < last:
                insort(remaining, entry)
        return remaining[:MAX_KEPT_COUNT]
