"""Witnesses: the daemons that are asked to promise a request id to one entry.

The witness candidates are all daemons that may have promised an id that is still valid. Each id has
up to ``WITNESSES_COUNT`` of them as its witnesses, chosen by rendezvous hashing.

The instance list lags, but it names every daemon that has been up for ``list_lag_s``. A daemon
that has read the list without a long gap since well before an id was issued has therefore seen
the name of every daemon that can have promised the id. ``docs/PROOFS.md`` derives the bounds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...util.hashing import rendezvous_order
from ..engine import on
from ..events import InstancesRead
from ..timers import PruneDue

if TYPE_CHECKING:
    from ..parameters import Parameters
    from ..world import World

WITNESSES_COUNT = 9
"""Maximum number of daemons that are asked to promise one request id."""


@on(InstancesRead)
def update_witness_candidates(world: World, event: InstancesRead) -> None:
    """Record the daemons in the list, and since when it has been read without a long gap."""
    daemon_state = world.daemon_state
    if event.requested_at < daemon_state.list_read_at:
        return
    if world.now - daemon_state.list_read_at > world.parameters.list_age_s:
        daemon_state.list_continuous_since = event.requested_at
    daemon_state.list_first_read_at = daemon_state.list_first_read_at or event.requested_at
    daemon_state.list_read_at = event.requested_at
    daemon_state.self_listed = False
    for instance in event.instances:
        world.witness_candidates[instance.name] = event.requested_at
        if instance.name == world.identity.name:
            daemon_state.self_listed = True


def witness_candidates(world: World) -> list[str]:
    """Return the daemons that may have promised an id that is still valid."""
    oldest = world.now - candidate_retention_s(world.parameters)
    return [name for name, seen_at in world.witness_candidates.items() if seen_at >= oldest]


def choose_witnesses(world: World, request_id: str) -> tuple[str, ...]:
    """Return the daemons to ask for a promise of *request_id*."""
    return tuple(rendezvous_order(request_id, witness_candidates(world), WITNESSES_COUNT))


def list_is_current(world: World) -> bool:
    """Return whether the list was read within ``list_age_s`` and names this daemon."""
    daemon_state = world.daemon_state
    age_s = world.now - daemon_state.list_read_at
    return daemon_state.self_listed and age_s <= world.parameters.list_age_s


def entry_wait_s(world: World, issued_at: float) -> float:
    """Return how many seconds later an id must be issued for this daemon to claim it, or 0."""
    if not list_is_current(world):
        return world.parameters.list_age_s
    known_from = world.daemon_state.list_continuous_since + entry_uptime_s(world.parameters)
    return max(known_from - issued_at, 0.0)


def witness_wait_s(world: World, issued_at: float) -> float:
    """Return how many seconds later an id must be issued for this daemon to promise it, or 0."""
    if not list_is_current(world):
        return world.parameters.list_age_s
    up_from = world.identity.started_at + witness_uptime_s(world.parameters)
    return max(up_from - issued_at, 0.0)


def entry_uptime_s(parameters: Parameters) -> float:
    """Return how long before an id is issued its claimant must have begun to read the list."""
    return 2 * parameters.clock_skew_s + 2 * parameters.list_age_s + parameters.list_lag_s


def witness_uptime_s(parameters: Parameters) -> float:
    """Return how long before an id is issued its witnesses must have started."""
    return 3 * parameters.clock_skew_s + 2 * parameters.list_age_s + 2 * parameters.list_lag_s


def candidate_retention_s(parameters: Parameters) -> float:
    """Return for how long after a daemon leaves the list its promises may still be valid."""
    return parameters.claim_s + entry_uptime_s(parameters)


@on(PruneDue)
def prune_witness_candidates(world: World, event: PruneDue) -> None:
    """Delete daemons whose promises have all expired."""
    oldest = world.now - candidate_retention_s(world.parameters)
    for name in [name for name, seen_at in world.witness_candidates.items() if seen_at < oldest]:
        del world.witness_candidates[name]
