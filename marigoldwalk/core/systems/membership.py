"""The listed daemons and which of them can be reached.

The platform's instance list shows, with a lag, which daemons exist and which are leaving.
Heartbeats show the current state: a peer counts as reachable only while messages get through in
both directions, which it proves by echoing a recent heartbeat.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import ReadInstances
from ..engine import at_start, message_handlers, on, on_message
from ..events import InstancesRead, PeerDisconnected, PeerReceived
from ..peer_messages import Heartbeat
from ..tables import PeerRow
from ..timers import HeartbeatDue, InstancesChanged, PeerChanged
from .configuration import confirmed_age_s, record_heartbeat_time

if TYPE_CHECKING:
    from ..events import Instance
    from ..world import World


@at_start
def start(world: World) -> None:
    """Start sending heartbeats."""
    world.after(0.0, HeartbeatDue())


@on(PeerReceived)
def dispatch_message(world: World, event: PeerReceived) -> None:
    """Call the handlers for the type of a peer's message."""
    for handler in message_handlers(type(event.message)):
        handler(world, event)


@on(InstancesRead)
def read_instances(world: World, event: InstancesRead) -> None:
    """Apply the platform's list unless it is older than the last one."""
    daemon_state = world.daemon_state
    if event.version < daemon_state.list_version:
        world.count("instances.stale")
        return
    before = listed_names(world)
    daemon_state.list_version = event.version
    daemon_state.list_confirmed_at = world.now
    _apply_list(world, event)
    if listed_names(world) != before:
        # Peers that see the new version in the heartbeat read the list too, so all agree soon.
        broadcast_heartbeat(world)
        world.note("instances", "changed", f"version {event.version}")
        world.inbox.append(InstancesChanged())


def _apply_list(world: World, event: InstancesRead) -> None:
    names = {instance.name for instance in event.instances}
    world.daemon_state.listed = world.identity.name in names
    for peer in world.peers.values():
        peer.listed = peer.name in names
    for instance in event.instances:
        if instance.name != world.identity.name:
            _apply_instance(world, instance)


def _apply_instance(world: World, instance: Instance) -> None:
    peer = world.peers.get(instance.name)
    if peer is None:
        peer = PeerRow(instance.name, instance.address, instance.domain, listed_at=world.now)
        peer.lost_at = world.now
        world.peers[instance.name] = peer
    peer.address = instance.address
    peer.domain = instance.domain
    peer.list_leaving = instance.leaving
    peer.listed = True
    peer.listed_until = world.now


def listed_names(world: World) -> dict[str, bool]:
    """Return the listed daemons, this one included, and whether each one is leaving."""
    names = {
        peer.name: peer.list_leaving or peer.leaving for peer in world.peers.values() if peer.listed
    }
    if world.daemon_state.listed:
        names[world.identity.name] = world.daemon_state.stopping
    return dict(sorted(names.items()))


@on(HeartbeatDue)
def send_heartbeats(world: World, event: HeartbeatDue) -> None:
    """Send a heartbeat to every listed peer and mark silent peers as unreachable."""
    broadcast_heartbeat(world)
    for peer in world.peers.values():
        if peer.reachable and _is_silent(world, peer):
            _mark_unreachable(world, peer, connection_lost=False)
    world.after(world.parameters.heartbeat_s, event)


def broadcast_heartbeat(world: World) -> None:
    """Send a heartbeat to every listed peer now."""
    world.daemon_state.heartbeat_sequence += 1
    record_heartbeat_time(world)
    for peer in world.peers.values():
        if peer.listed:
            world.send_message(peer.name, _heartbeat_for(world, peer))


def _heartbeat_for(world: World, peer: PeerRow) -> Heartbeat:
    daemon_state = world.daemon_state
    return Heartbeat(
        sequence=daemon_state.heartbeat_sequence,
        started_at=world.identity.started_at,
        revision=world.view.revision if world.view else 0,
        digest=world.view.digest if world.view else "",
        list_version=daemon_state.list_version,
        confirmed_age_s=confirmed_age_s(world),
        leaving=daemon_state.stopping,
        reply_to=peer.last_sequence,
    )


def _is_silent(world: World, peer: PeerRow) -> bool:
    oldest = world.now - world.parameters.peer_silence_s
    return peer.heard_at < oldest or peer.last_echo_at < oldest


def _mark_unreachable(world: World, peer: PeerRow, *, connection_lost: bool) -> None:
    peer.reachable = False
    peer.connection_lost = connection_lost
    peer.lost_at = world.now
    world.count("peer.reset" if connection_lost else "peer.silent")
    world.note("peer", "unreachable", peer.name)
    world.inbox.append(PeerChanged(peer.name))


@on(PeerDisconnected)
def peer_disconnected(world: World, event: PeerDisconnected) -> None:
    """Mark a peer as unreachable as soon as its connection breaks."""
    peer = world.peers.get(event.peer)
    if peer is None:
        return
    if event.refused and not peer.process_ended:
        peer.process_ended = True
        peer.process_ended_at = world.now
        world.note("peer", "gone", peer.name)
        world.inbox.append(PeerChanged(peer.name))
    if peer.reachable:
        _mark_unreachable(world, peer, connection_lost=True)


@on_message(Heartbeat)
def handle_heartbeat(world: World, event: PeerReceived) -> None:
    """Record a peer's heartbeat and update whether the peer is reachable."""
    peer = world.peers.get(event.sender)
    message: Heartbeat = event.message
    _compare_list_versions(world, message)
    if peer is None:
        world.count("peer.unlisted")
        return
    if message.started_at < peer.started_at:
        world.count("peer.old_incarnation")
        return
    restarted = message.started_at > peer.started_at
    if restarted:
        _begin_incarnation(peer, message)
        world.inbox.append(InstancesChanged())
    if message.sequence <= peer.last_sequence:
        world.count("peer.old_heartbeat")
        return
    peer.last_sequence = message.sequence
    peer.process_ended = False
    peer.heard_at = world.now
    if _echoes_recent(world, message):
        peer.last_echo_at = world.now
    _update_peer(world, peer, message)
    _update_reachable(world, peer, restarted=restarted)


def _compare_list_versions(world: World, message: Heartbeat) -> None:
    """Read the instance list at once when a peer has a newer one."""
    daemon_state = world.daemon_state
    due = world.now >= daemon_state.list_early_read_at + world.parameters.list_hasten_s
    if message.list_version > daemon_state.list_version and due:
        daemon_state.list_early_read_at = world.now
        world.count("instances.hastened")
        world.emit(ReadInstances())


def _begin_incarnation(peer: PeerRow, message: Heartbeat) -> None:
    peer.started_at = message.started_at
    peer.last_sequence = 0
    peer.last_echo_at = 0.0
    peer.reachable = False


def _echoes_recent(world: World, message: Heartbeat) -> bool:
    parameters = world.parameters
    lag_count = int(parameters.peer_silence_s / parameters.heartbeat_s)
    newest = world.daemon_state.heartbeat_sequence
    return max(newest - lag_count, 0) < message.reply_to <= newest


def _update_peer(world: World, peer: PeerRow, message: Heartbeat) -> None:
    peer.revision = message.revision
    peer.digest = message.digest
    peer.list_version = message.list_version
    if peer.leaving != message.leaving:
        peer.leaving = message.leaving
        world.inbox.append(InstancesChanged())


def _update_reachable(world: World, peer: PeerRow, *, restarted: bool) -> None:
    reachable = not _is_silent(world, peer)
    if reachable == peer.reachable and not restarted:
        return
    if reachable:
        world.note("peer", "reachable", peer.name)
    peer.reachable = reachable
    world.inbox.append(PeerChanged(peer.name))


def is_reachable(world: World, name: str) -> bool:
    """Return whether the daemon *name* is this one or a reachable peer."""
    if name == world.identity.name:
        return True
    peer = world.peers.get(name)
    return peer is not None and peer.reachable
