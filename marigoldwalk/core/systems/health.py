"""Health of the servers that this daemon is a home of: incarnation, holdings, concurrency limit.

A server is cold when it is first seen, whenever its incarnation changes and whenever it fails. A
cold server gets one subrequest at a time; the limit grows with successes up to its slots. Replies
take precedence over health endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import ProbeServer
from ..engine import on
from ..events import ProbeFailed, ProbeReply, ServerClosedConnection
from ..tables import Allowance, BlockRow, Role, ServerRow
from ..timers import BlockDue, ProbeDue, ServerDue, ServerFoundAlive, ServerRestarted, ViewChanged
from . import statuses, suspects
from .allowances import slots_allowed

if TYPE_CHECKING:
    from ...config.view import Server
    from ..world import World

COLD_LIMIT = 1


@on(ViewChanged)
def apply_view(world: World, event: ViewChanged) -> None:
    """Pause servers that moved between blocks, and mark excluded servers as cold."""
    moving = world.moving_until
    for name in [name for name, until in moving.items() if until <= world.now]:
        del moving[name]
    before, world.block_of_server = world.block_of_server, _blocks_of_servers(world)
    for name, block in world.block_of_server.items():
        if before.get(name, block) != block:
            moving[name] = world.now + world.parameters.move_settle_s
            world.at(moving[name], ServerDue(name))
    for row in world.servers.values():
        if row.name in world.view.excluded:
            mark_cold(world, row, "excluded")


def _blocks_of_servers(world: World) -> dict[str, str]:
    return {name: block.name for block in world.view.blocks for name in block.servers}


def watch_block(world: World, block: str) -> None:
    """Start probing the servers of a block that this daemon became a home of."""
    row = world.blocks.get(block)
    if row is None or row.role is Role.NONE or world.view is None:
        return
    for name in world.view.block_by_name[block].servers:
        if name not in world.servers:
            world.servers[name] = ServerRow(name)
            world.inbox.append(ProbeDue(name))
        server_row = world.servers[name]
        _adopt_warm_limit(world, server_row)
        if world.now - server_row.probed_at > world.parameters.probe_s:
            probe_now(world, name)


@on(ProbeDue)
def probe(world: World, event: ProbeDue) -> None:
    """Probe a server, and again at intervals while this daemon is a home of its block."""
    row = world.servers.get(event.server)
    if row is None:
        return
    if not _is_home_of(world, event.server):
        if row.running:
            world.after(world.parameters.probe_s, event)
        else:
            del world.servers[event.server]
        return
    probe_now(world, event.server)
    world.after(_probe_interval_s(world, event.server), event)


def has_probed_block(world: World, block: str) -> bool:
    """Return whether this daemon has probed every server of a block, with success or without."""
    names = world.view.block_by_name[block].servers
    return all(name in world.servers and world.servers[name].probed for name in names)


def _mark_probed(world: World, row: ServerRow) -> None:
    if not row.probed and _block_of(world, row.name) is not None:
        world.inbox.append(BlockDue(_block_of(world, row.name).name))
    row.probed = True


def _block_of(world: World, server: str) -> BlockRow | None:
    block = world.view.block_of_server.get(server) if world.view else None
    return world.blocks.get(block.name) if block else None


def _is_home_of(world: World, server: str) -> bool:
    row = _block_of(world, server)
    return row is not None and row.role is not Role.NONE


def _probe_interval_s(world: World, server: str) -> float:
    first = _block_of(world, server).role is Role.FIRST
    return world.parameters.probe_s if first else world.parameters.second_probe_s


def probe_now(world: World, server: str) -> None:
    """Probe a server's health endpoint at once."""
    world.emit(ProbeServer(server, world.view.server_by_name[server].address))


@on(ProbeReply)
def probe_replied(world: World, event: ProbeReply) -> None:
    """Update a server's row from the reply of its health endpoint."""
    row = world.servers.get(event.server)
    if row is None:
        return
    before = (row.usable, row.holdings, is_draining(world, row))
    row.probed_at = world.now
    _mark_probed(world, row)
    record_incarnation(world, row, event.incarnation)
    row.usable = True
    row.holdings = event.holdings
    if event.draining:
        row.draining_until = world.now + world.parameters.draining_hold_s
    if event.cold and not row.reported_cold:
        mark_cold(world, row, "health")
    row.reported_cold = event.cold
    if before != (row.usable, row.holdings, is_draining(world, row)):
        _notify_changed(world, row)


@on(ServerClosedConnection)
def handle_closed_connection(world: World, event: ServerClosedConnection) -> None:
    """Treat a server as cold until a probe or reply shows whether it has restarted."""
    row = world.servers.get(event.server)
    if row is None or row.restart_suspected or not _is_home_of(world, event.server):
        return
    world.count("server.hung_up")
    row.restart_suspected = True
    probe_now(world, event.server)


@on(ProbeFailed)
def probe_failed(world: World, event: ProbeFailed) -> None:
    """Treat a refused connection as the end of the incarnation; a late reply proves nothing."""
    row = world.servers.get(event.server)
    if row is None:
        return
    _mark_probed(world, row)
    world.count("probe.refused" if event.refused else "probe.late")
    row.probed_at = world.now
    if event.refused:
        _end_incarnation(world, row)


def record_incarnation(world: World, row: ServerRow, incarnation: str) -> None:
    """Record the incarnation that a reply or probe reported."""
    if row.incarnation == incarnation:
        if row.suspects:
            row.suspects.clear()
            world.inbox.append(ServerFoundAlive(row.name))
        if row.restart_suspected:
            row.restart_suspected = False
            _notify_changed(world, row)
        return
    row.restart_suspected = False
    known = row.incarnation != ""
    row.incarnation = incarnation
    if known:
        _report_restart(world, row)
    mark_cold(world, row, "incarnation")
    _adopt_warm_limit(world, row)


def _adopt_warm_limit(world: World, row: ServerRow) -> None:
    """Allow all slots at once if another home has recently reported this incarnation as warm."""
    block = _block_of(world, row.name)
    if block is None or block.status is None:
        return
    reported_by_other = block.status_from != world.identity.name
    recent = world.now - block.status_at <= world.parameters.status_age_s
    unused = not row.latency.samples
    if reported_by_other and recent and unused and row.incarnation in block.status.warm:
        row.limit = world.view.server_by_name[row.name].slots


def _end_incarnation(world: World, row: ServerRow) -> None:
    if not row.usable and not row.suspects:
        return
    row.usable = False
    row.incarnation = ""
    mark_cold(world, row, "refused")
    _report_restart(world, row)
    _notify_changed(world, row)


def _report_restart(world: World, row: ServerRow) -> None:
    attempts = suspects.suspected_attempts(world, row)
    row.suspects.clear()
    world.count("server.restarted")
    world.note("server", "restarted or gone", row.name)
    world.inbox.append(ServerRestarted(row.name, attempts))


def mark_cold(world: World, row: ServerRow, cause: str) -> None:
    """Reset a server's concurrency limit to one subrequest."""
    if row.limit > COLD_LIMIT:
        world.count(f"cold.{cause}")
        _notify_changed(world, row)
    row.limit = COLD_LIMIT
    row.successes = 0
    row.slow_count = 0


def record_success(world: World, row: ServerRow, seconds: float) -> None:
    """Raise a server's limit after enough successes; mark it cold after slow replies in a row."""
    parameters = world.parameters
    median_s = row.latency.quantile(0.5, 0.0)
    row.latency.add(seconds)
    if median_s and seconds > median_s * parameters.slow_ratio:
        row.slow_count += 1
        if row.slow_count >= parameters.slow_count:
            mark_cold(world, row, "slow")
        return
    row.slow_count = 0
    row.successes += 1
    slots = world.view.server_by_name[row.name].slots
    needed_count = parameters.cold_successes_count * row.limit
    if row.reported_cold:
        needed_count = max(needed_count, parameters.cold_word_count)
    if row.limit < slots and row.successes >= needed_count:
        row.limit += 1
        row.successes = 0
        _notify_changed(world, row)


def record_abandoned(row: ServerRow, seconds: float) -> None:
    """Record the age of abandoned work as a lower bound of the server's latency.

    Otherwise a permanently slow server would never be recognized as slow, since another replica's
    reply always arrives first.
    """
    if seconds > row.latency.quantile(0.5, 0.0):
        row.latency.add(seconds)


def record_timeout(world: World, row: ServerRow, seconds: float) -> None:
    """Mark a server as cold when it misses several deadlines in a row.

    Work that the server had for no longer than an ordinary reply takes is not counted.
    """
    median_s = row.latency.quantile(0.5, 0.0)
    if seconds <= median_s * world.parameters.slow_ratio:
        return
    row.slow_count += 1
    if row.slow_count >= world.parameters.slow_count:
        mark_cold(world, row, "timeout")


def pause_server(world: World, row: ServerRow, seconds: float) -> None:
    """Send a server no work for *seconds*."""
    row.paused_until = max(row.paused_until, world.now + seconds)
    world.at(row.paused_until, ServerDue(row.name))


def _notify_changed(world: World, row: ServerRow) -> None:
    server = world.view.server_by_name.get(row.name) if world.view else None
    if server is not None:
        world.dirty_queues[world.view.replica_set_of_server[row.name]] = None
        statuses.mark_block(world, world.view.block_of_server[row.name].name)


def is_draining(world: World, row: ServerRow) -> bool:
    """Return whether a server has recently reported that it is draining."""
    return world.now < row.draining_until


def is_serving(world: World, row: ServerRow) -> bool:
    """Return whether a server may get new work, now or after a pause."""
    excluded = world.view is None or row.name in world.view.excluded
    return row.usable and not excluded and not is_draining(world, row)


def free_slots(world: World, server: Server) -> int:
    """Return how many more subrequests this daemon may send to *server* now."""
    row = world.servers[server.name]
    block = world.blocks[world.view.block_of_server[server.name].name]
    if not is_serving(world, row) or world.now < row.paused_until:
        return 0
    if world.now < world.moving_until.get(server.name, 0.0):
        return 0
    if (row.restart_suspected or row.limit <= COLD_LIMIT) and not _may_warm_up(block):
        return 0
    limit = COLD_LIMIT if row.restart_suspected else row.limit
    return min(limit, slots_allowed(world, block, server)) - len(row.running)


def _may_warm_up(block: BlockRow) -> bool:
    return block.allowance is Allowance.FULL or (
        block.role is Role.FIRST and block.had_full_allowance
    )


def held_shards(row: ServerRow, snapshot: int) -> tuple[int, ...]:
    """Return the shards of *snapshot* that a server holds."""
    for holding in row.holdings:
        if holding.snapshot == snapshot:
            return holding.shards
    return ()


def holds_shards(row: ServerRow, snapshot: int, shards: tuple[int, ...]) -> bool:
    """Return whether a server holds all of *shards* of *snapshot*."""
    for holding in row.holdings:
        if holding.snapshot == snapshot:
            return set(shards) <= set(holding.shards)
    return False
