"""Handover of a block from its former homes to its next first home.

A daemon that becomes first home prepares to serve, asks the former homes to hand over and waits
for those that answer. A former home answers once its own work takes up no more than half of the
slots, so that the next home can use the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...util.hashing import rendezvous_order
from ..engine import after_events, on_message
from ..peer_messages import HandoverReply, HandoverRequest
from ..tables import Allowance, BlockRow, Role
from . import health, homes
from .allowances import has_ended, update_allowance
from .configuration import view_trusted

if TYPE_CHECKING:
    from ...config.view import Server
    from ..events import PeerReceived
    from ..tables import PeerRow
    from ..world import World

FORMER_HOMES_COUNT = 9
"""Number of daemons, in the order of rendezvous hashing, that are asked to hand over a block."""


def start_handover(world: World, row: BlockRow) -> None:
    """Ask the daemons that may still send to a block to stop, once this daemon is prepared."""
    candidates = [peer.name for peer in world.peers.values() if _may_still_send(world, peer)]
    row.awaited_homes = dict.fromkeys(rendezvous_order(row.name, candidates, FORMER_HOMES_COUNT))
    row.former_work_ends_at = world.now
    row.busy_until = {}
    row.had_full_allowance = False
    row.preparing = not is_prepared(world, row)
    send_handover_requests(world, row)


def is_prepared(world: World, row: BlockRow) -> bool:
    """Return whether this daemon could serve a block immediately after a handover."""
    return view_trusted(world) and health.has_probed_block(world, row.name)


def send_handover_requests(world: World, row: BlockRow) -> None:
    """Ask the former homes that have not answered, unless this daemon is still preparing."""
    if not row.preparing:
        for name in row.awaited_homes:
            _send_request(world, row, name)


def _may_still_send(world: World, peer: PeerRow) -> bool:
    if has_ended(world, peer):
        return False
    return peer.listed or world.now < peer.listed_until + world.parameters.quarantine_s


def _send_request(world: World, row: BlockRow, name: str) -> None:
    world.send_message(name, HandoverRequest(row.name, world.daemon_state.list_version))


@on_message(HandoverRequest)
def handle_request(world: World, event: PeerReceived) -> None:
    """Stop sending to a block that the sender has become the first home of."""
    message: HandoverRequest = event.message
    row = world.blocks.get(message.block)
    newer = message.list_version > world.daemon_state.list_version
    keeps_block = row is not None and row.serves_until > 0
    if row is not None and row.role is Role.FIRST and not newer and not keeps_block:
        world.count("handover.disputed")
        return
    if row is None:
        world.send_message(
            event.sender, HandoverReply(message.block, message.list_version, world.now)
        )
        return
    row.relinquished_version = max(row.relinquished_version, message.list_version)
    row.relinquished = world.daemon_state.stopping
    if keeps_block and not row.relinquished:
        homes.apply_listed_role(world, row)
    update_allowance(world, row)
    row.handover_replies.pop(event.sender, None)
    world.handovers.setdefault(row.name, {})[event.sender] = message.list_version


@after_events
def reply_to_handovers(world: World) -> None:
    """Tell new homes when this daemon uses at most half of a block's slots, and when none."""
    for block, versions in list(world.handovers.items()):
        row = world.blocks.get(block)
        if row is not None and row.allowance is not Allowance.NONE:
            # This daemon acts for a first home that it cannot reach, and answers once it can.
            continue
        servers = _busy_servers(world, row) if row is not None else []
        if any(len(running) > _other_half(server) for server, running in servers):
            continue
        for name, version in versions.items():
            _reply_to_handover(world, block, name, version, servers)
        if not servers:
            del world.handovers[block]


def _reply_to_handover(
    world: World, block: str, name: str, version: int, servers: list[tuple[Server, list[float]]]
) -> None:
    row = world.blocks.get(block)
    if servers and row.handover_replies.get(name):
        return
    deadlines = [deadline for _, running in servers for deadline in running]
    if row is not None:
        row.handover_replies[name] = bool(servers)
    world.send_message(name, HandoverReply(block, version, max([world.now, *deadlines])))


def _busy_servers(world: World, row: BlockRow) -> list[tuple[Server, list[float]]]:
    """Return the servers of the block that run work of this daemon, with the work's deadlines."""
    busy = []
    block = world.view.block_by_name.get(row.name) if world.view else None
    for name in block.servers if block else ():
        server_row = world.servers.get(name)
        if server_row is not None and server_row.running:
            running = [world.attempts[attempt].deadline for attempt in server_row.running]
            busy.append((world.view.server_by_name[name], running))
    return busy


def _other_half(server: Server) -> int:
    return server.slots - server.slots // 2


@on_message(HandoverReply)
def handle_reply(world: World, event: PeerReceived) -> None:
    """Record that a former home has stopped sending to a block."""
    message: HandoverReply = event.message
    row = world.blocks.get(message.block)
    if row is None or (
        event.sender not in row.awaited_homes and event.sender not in row.busy_until
    ):
        return
    row.awaited_homes.pop(event.sender, None)
    row.busy_until[event.sender] = message.busy_until
    row.former_work_ends_at = max(row.busy_until.values())
    update_allowance(world, row)


def drop_ended_homes(world: World, row: BlockRow) -> None:
    """Stop waiting for former homes that have certainly stopped."""
    for name in list(row.awaited_homes):
        peer = world.peers.get(name)
        if peer is None or not _may_still_send(world, peer):
            del row.awaited_homes[name]
