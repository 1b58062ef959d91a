"""Dispatch: sends queued work to servers.

Each replica set has one queue, rather than one for each server, so that the first replica with a
free slot takes the next item.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ...errors import Missing
from ..actions import SendSubrequest
from ..engine import after_events, on
from ..strategies.replicas import replica_choices
from ..tables import Allowance, AttemptRow, LatencyWindow
from ..timers import HedgeDue, ServerDue, ViewChanged
from . import budgets, health, jobs, suspects
from .allowances import is_waiting_for_homes
from .configuration import view_trusted

if TYPE_CHECKING:
    from ...config.view import ReplicaSet, Server
    from ..peer_messages import BlockRequest
    from ..tables import ItemRow, ServerRow
    from ..world import World

REPLICA_CHOICE_NAME = "least_loaded"
"""The registered strategy that chooses among replicas with a free slot."""
FAST_QUANTILE_RATIO = 0.1
"""The quantile of a server's latency that counts as a fast reply."""
MAX_SKIPPED_COUNT = 16
"""Waiting items that are skipped in search of one that a free server can run."""


def candidates(
    world: World, request: BlockRequest, replicas: ReplicaSet, shards: tuple[int, ...]
) -> list[ServerRow]:
    """Return the servers that may run *shards* of a request, including busy ones."""
    group = world.view.group_by_name.get(request.group)
    rows = [world.servers.get(server.name) for server in replicas.servers]
    return [
        row
        for row in rows
        if row is not None
        and group is not None
        and row.name in group.servers
        and health.is_serving(world, row)
        and health.holds_shards(row, request.snapshot, shards)
    ]


def held_shards(world: World, request: BlockRequest, replicas: ReplicaSet) -> set[int]:
    """Return the shards of a request's snapshot that any server of *replicas* may run."""
    held: set[int] = set()
    for row in candidates(world, request, replicas, ()):
        held.update(health.held_shards(row, request.snapshot))
    return held


def ensure_queue_capacity(world: World, replicas: ReplicaSet, item: ItemRow) -> bool:
    """Return whether a queue can take *item*; a full one first evicts an item of lower priority."""
    queue = world.queues.get(replicas.name, [])
    if len(queue) < world.parameters.queue_limit_count:
        return True
    last = max(queue)
    if last[0] <= item.priority:
        return False
    queue.remove(last)
    heapq.heapify(queue)
    displaced = world.items.get(last[2])
    if displaced is not None:
        world.count("queue.displaced")
        jobs.fail_item(world, displaced, Missing.OVERLOADED)
    return True


def enqueue(world: World, item: ItemRow) -> None:
    """Add an item to the queue of its replica set."""
    queue = world.queues.setdefault(item.replicas, [])
    # Trials go first within their priority, since the rest of the query waits for them.
    order = 0.0 if world.jobs[item.job].request.canary else item.deadline
    heapq.heappush(queue, (item.priority, order, item.item))
    world.dirty_queues[item.replicas] = None


@on(ServerDue)
def wake_server(world: World, event: ServerDue) -> None:
    """Schedule the queue of a server whose pause has ended."""
    if world.view is not None and event.server in world.view.replica_set_of_server:
        world.dirty_queues[world.view.replica_set_of_server[event.server]] = None


@on(ViewChanged)
def wake_all(world: World, event: ViewChanged) -> None:
    """Schedule every queue under the new configuration."""
    world.dirty_queues.update(dict.fromkeys(world.queues))


@after_events
def dispatch(world: World) -> None:
    """Send waiting items to servers with free slots."""
    changed_blocks, world.changed_blocks = world.changed_blocks, {}
    for block in changed_blocks:
        _wake_block(world, block)
    if not view_trusted(world):
        return
    dirty_queues, world.dirty_queues = world.dirty_queues, {}
    for name in dirty_queues:
        replicas = world.view.replica_set_by_name.get(name)
        if replicas is None:
            _fail_queue(world, name, Missing.NO_REPLICA)
        else:
            _serve_queue(world, replicas)


def _wake_block(world: World, block: str) -> None:
    row = world.blocks.get(block)
    if row is None or block not in world.view.block_by_name:
        return
    health.watch_block(world, block)
    lost = row.allowance is Allowance.NONE and not is_waiting_for_homes(world, row)
    for replicas in world.view.replica_sets_of_block[block]:
        if lost:
            _fail_queue(world, replicas.name, Missing.NO_HOME)
        else:
            world.dirty_queues[replicas.name] = None


def _fail_queue(world: World, name: str, reason: Missing) -> None:
    for queued in world.queues.pop(name, []):
        item = world.items.get(queued[2])
        if item is not None and not item.attempts:
            jobs.fail_item(world, item, reason)


def _serve_queue(world: World, replicas: ReplicaSet) -> None:
    queue = world.queues.get(replicas.name)
    if not queue:
        return
    skipped: list[tuple[int, float, int]] = []
    while queue and len(skipped) < MAX_SKIPPED_COUNT:
        if not _has_free_slot(world, replicas):
            break
        queued = heapq.heappop(queue)
        item = world.items.get(queued[2])
        if item is None or item.done or item.waits_for_server:
            continue
        if _cannot_meet_deadline(world, replicas, item):
            world.count("queue.too_late")
            jobs.fail_item(world, item, item.failure or Missing.DEADLINE)
            continue
        if not _try_send(world, replicas, item):
            skipped.append(queued)
    for queued in skipped:
        heapq.heappush(queue, queued)
    if not queue:
        world.queues.pop(replicas.name, None)


def _cannot_meet_deadline(world: World, replicas: ReplicaSet, item: ItemRow) -> bool:
    """Return whether even a fast reply would come after an item's deadline."""
    rows = [world.servers.get(server.name) for server in replicas.servers]
    fast_s = min(row.latency.quantile(FAST_QUANTILE_RATIO, 0.0) for row in rows if row is not None)
    return world.now + fast_s > item.deadline


def _has_free_slot(world: World, replicas: ReplicaSet) -> bool:
    return any(
        server.name in world.servers and health.free_slots(world, server) > 0
        for server in replicas.servers
    )


def _try_send(world: World, replicas: ReplicaSet, item: ItemRow) -> bool:
    """Send an item, or fail it if no server can run it; return ``False`` if it has to wait."""
    job = world.jobs[item.job]
    if suspects.check_content(world, job.request.fingerprint) is not None:
        jobs.fail_item(world, item, Missing.SUSPECT_CONTENT)
        return True
    usable = candidates(world, job.request, replicas, item.shards)
    untried = [row for row in usable if row.name not in item.tried]
    if not untried:
        jobs.fail_item(world, item, item.failure or Missing.NO_REPLICA)
        return True
    free = [row for row in untried if _can_run(world, row, item)]
    if not free:
        return False
    send(world, item, replica_choices.get(REPLICA_CHOICE_NAME)(free), hedge=False)
    return True


def _can_run(world: World, row: ServerRow, item: ItemRow) -> bool:
    """Return whether a server may run an item now; content that may crash it runs alone."""
    if health.free_slots(world, _configured_server(world, row)) <= 0:
        return False
    fingerprint = world.jobs[item.job].request.fingerprint
    fingerprints = (fingerprint, *row.running.values())
    idle = not row.running
    return idle or not any(
        suspects.has_crashed_server(world, key, item.replicas) for key in fingerprints
    )


def _configured_server(world: World, row: ServerRow) -> Server:
    return world.view.server_by_name[row.name]


def send(world: World, item: ItemRow, row: ServerRow, *, hedge: bool) -> None:
    """Send an item to a server with a free slot."""
    job = world.jobs[item.job]
    request = job.request
    attempt = AttemptRow(
        attempt=world.new_key(),
        item=item.item,
        server=row.name,
        sent_at=world.now,
        deadline=request.deadline,
        fingerprint=request.fingerprint,
        hedge=hedge,
        trial=request.canary,
    )
    world.attempts[attempt.attempt] = attempt
    item.attempts.add(attempt.attempt)
    item.tried.add(row.name)
    row.running[attempt.attempt] = request.fingerprint
    row.sent_at = world.now
    job.attempts += 1
    job.possible_runs += 1
    world.count("subrequest.hedge" if hedge else "subrequest.first")
    world.emit(
        SendSubrequest(
            attempt=attempt.attempt,
            server=row.name,
            address=_configured_server(world, row).address,
            group=request.group,
            index=request.index,
            snapshot=request.snapshot,
            shards=item.shards,
            body=request.body,
            limit=request.limit,
            request_id=request.request_id,
            deadline=request.deadline,
        )
    )
    if not (hedge or request.canary or request.request_id):
        world.after(hedge_delay_s(world, request.group), HedgeDue(attempt.attempt))


def hedge_delay_s(world: World, group: str) -> float:
    """Return the time in seconds after which a subrequest of *group* counts as slow."""
    parameters = world.parameters
    window = world.group_latency.setdefault(group, LatencyWindow())
    typical_s = window.quantile(parameters.hedge_quantile_ratio, 0.0)
    if not typical_s:
        return parameters.hedge_default_s
    return max(typical_s * parameters.hedge_margin_ratio, parameters.hedge_floor_s)


@on(HedgeDue)
def hedge(world: World, event: HedgeDue) -> None:
    """Send a slow subrequest to a second replica, or try again later if none is available."""
    attempt = world.attempts.get(event.attempt)
    item = world.items.get(attempt.item) if attempt else None
    if item is None or attempt.abandoned or len(item.attempts) != 1:
        return
    request = world.jobs[item.job].request
    if not _send_hedge(world, item, request):
        world.after(world.parameters.hedge_floor_s, event)


def _send_hedge(world: World, item: ItemRow, request: BlockRequest) -> bool:
    replicas = world.view.replica_set_by_name.get(item.replicas)
    if replicas is None or not view_trusted(world):
        return False
    if world.queues.get(item.replicas):
        world.count("hedge.queue")
        return False
    free = [
        row
        for row in candidates(world, request, replicas, item.shards)
        if row.name not in item.tried and _can_run(world, row, item)
    ]
    if not free or not budgets.spend_hedge(world, request.group):
        return False
    send(world, item, replica_choices.get(REPLICA_CHOICE_NAME)(free), hedge=True)
    return True
