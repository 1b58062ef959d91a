"""A fleet of real processes whose network connections can be cut."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from standins.fleet import Fleet

from .relay import Relays

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.fleet_plan import Daemon, FleetOptions

    from .relay import Relay

PARAMETERS = {"list_lag_s": 1.0, "list_age_s": 2.0, "clock_skew_s": 0.2}
"""Time bounds short enough for one machine, so that new daemons soon claim request ids."""
CLAIM_WARM_UP_S = 7.5
"""Time after its start when a daemon with these parameters can claim and promise request ids."""


class FaultFleet(Fleet):
    """A fleet that records the shard count of every snapshot, so that answers can be checked later.

    With *relayed*, daemons reach each other and the platform through relays, which can be cut. A
    relay accepts connections even if its daemon has ended, so peers do not see them refused.
    """

    def __init__(self, options: FleetOptions, *, relayed: bool) -> None:
        self.relays = Relays()
        self._relayed = relayed
        self._peer_relays: dict[str, Relay] = {}
        self._platform_relays: dict[str, Relay] = {}
        self._shard_counts: dict[str, dict[int, int]] = {}
        super().__init__(options)

    def stop(self) -> None:
        """End every process and relay."""
        super().stop()
        self.relays.close()

    def listed_address(self, daemon: Daemon) -> str:
        """Return the address of the relay to *daemon*, if there is one."""
        if not self._relayed:
            return super().listed_address(daemon)
        relay = self._peer_relays.get(daemon.name)
        if relay is None:
            relay = self.relays.open(daemon.peer_address, by_sender=True)
            self._peer_relays[daemon.name] = relay
        return relay.address

    def platform_address_for(self, daemon: Daemon) -> str:
        """Return the address of the relay from *daemon* to the platform, if there is one."""
        if not self._relayed:
            return super().platform_address_for(daemon)
        relay = self._platform_relays[daemon.name] = self.relays.open(self.platform_address)
        return relay.address

    def roll_out_snapshots(self, index: str, shard_counts: dict[int, int], pause_s: float) -> None:
        """Set the snapshots of the servers of *index*, one server at a time.

        *shard_counts* maps each snapshot to its number of shards.
        """
        self._record_shard_counts(index)
        self.snapshots[index] = dict(shard_counts)
        self._record_shard_counts(index)
        for server in self.servers.values():
            if server.index == index:
                self.control(server.name, snapshots=shard_counts)
                time.sleep(pause_s)

    def shard_counts(self, index: str) -> dict[int, int]:
        """Return the shard count of every snapshot that *index* has had."""
        self._record_shard_counts(index)
        return self._shard_counts[index]

    def cut_platform(self, name: str) -> None:
        """Block the traffic between the daemon *name* and the platform."""
        self.relays.cut(self._platform_relays[name])

    def heal_platform(self, name: str) -> None:
        """Unblock the traffic between the daemon *name* and the platform."""
        self.relays.heal(self._platform_relays[name])

    def partition(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Block all traffic between the daemons *one* and the daemons *other*."""
        one, other = tuple(one), tuple(other)
        for receivers, senders in ((one, other), (other, one)):
            for name in receivers:
                self.relays.cut(self._peer_relays[name], *senders)

    def heal_partition(self) -> None:
        """Unblock the traffic between all daemons; data held back meanwhile is delivered."""
        for relay in self._peer_relays.values():
            self.relays.heal(relay)

    def restart(self, *names: str) -> None:
        """Start daemons that have ended, list all daemons as instances and wait until ready."""
        for name in names:
            self.start_daemon(name)
        self.set_instances()
        self.wait_ready(names)

    def wait_for_claims(self) -> None:
        """Wait until daemons that have just started can claim and promise request ids."""
        time.sleep(CLAIM_WARM_UP_S)

    def _record_shard_counts(self, index: str) -> None:
        self._shard_counts.setdefault(index, {}).update(self.snapshots[index])
