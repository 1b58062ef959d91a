"""The daemons that send requests to the same backend servers.

Load pattern: a limit of a few requests a second, divided equally among many daemons, gives none of
them a whole request, and if each may send one now and then, all may do so at the same time. So a
few daemons, different ones for each server, have most of such a limit.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..util.hashing import rendezvous_order

MAIN_SHARE = 0.75
"""Fraction of a limit for the main senders if there are others; the rest lets the others notice
that the limit has changed."""


@dataclass(frozen=True, slots=True)
class Senders:
    """The daemons that may be sending, by name, including this one."""

    own: str
    members: tuple[str, ...]
    delegates: tuple[str, ...] = ()
    """The members that execute the fan-out queries; empty if every member does so itself."""
    _shares: dict[tuple[str, int, bool], float] = field(
        default_factory=dict, repr=False, compare=False
    )

    def share(self, server_id: str, max_main: int, is_shard: bool) -> float:
        """Return this daemon's share of a limit that a server has for all daemons together.

        At most *max_main* daemons, the main senders, share most of it.
        """
        key = (server_id, max_main, is_shard)
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = self._compute_share(server_id, max_main, is_shard)
        return share

    def _compute_share(self, server_id: str, max_main: int, is_shard: bool) -> float:
        candidates = self.delegates if is_shard and self.delegates else self.members
        main = rendezvous_order(server_id, candidates, max(1, max_main))
        others_count = len(self.members) - len(main)
        if others_count == 0:
            return 1 / len(main)
        if self.own in main:
            return MAIN_SHARE / len(main)
        return (1 - MAIN_SHARE) / others_count
