"""Dispatch: queues of each replica set, and the servers that take work from them.

Work waits in the queue of its replica set and not at one server, so that the replica that is free
first takes it.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ...errors import Missing
from ..actions import SendSubrequest
from ..engine import each_tick, on
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

REPLICA_CHOICE = "least_loaded"
FAST_QUANTILE_RATIO = 0.1
"""The quantile of a server's latency that counts as fast."""
MAX_PASSED_COUNT = 16
"""Waiting items that are passed over in search of one that a free server can run."""


def candidates(
    world: World, request: BlockRequest, replicas: ReplicaSet, shards: tuple[int, ...]
) -> list[ServerRow]:
    """Return the servers that may run *shards* of a request, busy ones included."""
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
    """Return the shards of a request's snapshot that some server of *replicas* may run."""
    held: set[int] = set()
    for row in candidates(world, request, replicas, ()):
        held.update(health.held_shards(row, request.snapshot))
    return held


def make_room(world: World, replicas: ReplicaSet, item: ItemRow) -> bool:
    """Return whether a queue takes *item*; a full one gives up its lowest priority for a higher."""
    queue = world.queues.get(replicas.name, [])
    if len(queue) < world.parameters.queue_limit_count:
        return True
    worst = max(queue)
    if worst[0] <= item.priority:
        return False
    queue.remove(worst)
    heapq.heapify(queue)
    displaced = world.items.get(worst[2])
    if displaced is not None:
        world.count("queue.displaced")
        jobs.give_up_item(world, displaced, Missing.OVERLOADED)
    return True


def enqueue(world: World, item: ItemRow) -> None:
    """Put an item in its queue."""
    queue = world.queues.setdefault(item.replicas, [])
    # A trial goes first among its equals, since the rest of its query waits for it.
    order = 0.0 if world.jobs[item.job].request.canary else item.deadline
    heapq.heappush(queue, (item.priority, order, item.item))
    world.woken[item.replicas] = None


@on(ServerDue)
def wake_server(world: World, event: ServerDue) -> None:
    """Look at a server's queue after its pause."""
    if world.view is not None and event.server in world.view.replica_set_of_server:
        world.woken[world.view.replica_set_of_server[event.server]] = None


@on(ViewChanged)
def wake_all(world: World, event: ViewChanged) -> None:
    """Look at every queue again under the new configuration."""
    world.woken.update(dict.fromkeys(world.queues))


@each_tick
def dispatch(world: World) -> None:
    """Hand waiting items to free servers."""
    woken_blocks, world.woken_blocks = world.woken_blocks, {}
    for block in woken_blocks:
        _wake_block(world, block)
    if not view_trusted(world):
        return
    woken, world.woken = world.woken, {}
    for name in woken:
        replicas = world.view.replica_set_by_name.get(name)
        if replicas is None:
            _give_up_queue(world, name, Missing.NO_REPLICA)
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
            _give_up_queue(world, replicas.name, Missing.NO_HOME)
        else:
            world.woken[replicas.name] = None


def _give_up_queue(world: World, name: str, reason: Missing) -> None:
    for entry in world.queues.pop(name, []):
        item = world.items.get(entry[2])
        if item is not None and not item.attempts:
            jobs.give_up_item(world, item, reason)


def _serve_queue(world: World, replicas: ReplicaSet) -> None:
    queue = world.queues.get(replicas.name)
    if not queue:
        return
    passed: list[tuple[int, float, int]] = []
    while queue and len(passed) < MAX_PASSED_COUNT:
        if not _any_free(world, replicas):
            break
        entry = heapq.heappop(queue)
        item = world.items.get(entry[2])
        if item is None or item.done or item.waits_for:
            continue
        if _is_too_late(world, replicas, item):
            world.count("queue.too_late")
            jobs.give_up_item(world, item, item.failure or Missing.DEADLINE)
            continue
        if not _try_send(world, replicas, item):
            passed.append(entry)
    for entry in passed:
        heapq.heappush(queue, entry)
    if not queue:
        world.queues.pop(replicas.name, None)


def _is_too_late(world: World, replicas: ReplicaSet, item: ItemRow) -> bool:
    """Return whether even a fast reply would miss an item's deadline."""
    rows = [world.servers.get(server.name) for server in replicas.servers]
    fast_s = min(row.latency.quantile(FAST_QUANTILE_RATIO, 0.0) for row in rows if row is not None)
    return world.now + fast_s > item.deadline


def _any_free(world: World, replicas: ReplicaSet) -> bool:
    return any(
        server.name in world.servers and health.free_slots(world, server) > 0
        for server in replicas.servers
    )


def _try_send(world: World, replicas: ReplicaSet, item: ItemRow) -> bool:
    """Send an item, end it when nothing can serve it, or return ``False`` to let it wait."""
    job = world.jobs[item.job]
    if suspects.check_content(world, job.request.fingerprint) is not None:
        jobs.give_up_item(world, item, Missing.SUSPECT_CONTENT)
        return True
    usable = candidates(world, job.request, replicas, item.shards)
    untried = [row for row in usable if row.name not in item.tried]
    if not untried:
        jobs.give_up_item(world, item, item.failure or Missing.NO_REPLICA)
        return True
    free = [row for row in untried if _is_free(world, row, item)]
    if not free:
        return False
    send(world, item, replica_choices.get(REPLICA_CHOICE)(free), hedge=False)
    return True


def _is_free(world: World, row: ServerRow, item: ItemRow) -> bool:
    """Return whether a server may run an item now; content that may kill it runs alone."""
    if health.free_slots(world, _server(world, row)) <= 0:
        return False
    fingerprint = world.jobs[item.job].request.fingerprint
    contents = (fingerprint, *row.running.values())
    alone = not row.running
    return alone or not any(
        suspects.has_crashed_server(world, key, item.replicas) for key in contents
    )


def _server(world: World, row: ServerRow) -> Server:
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
    world.act(
        SendSubrequest(
            attempt=attempt.attempt,
            server=row.name,
            address=_server(world, row).address,
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
    """Return after how long a subrequest of *group* counts as slow, in seconds."""
    parameters = world.parameters
    window = world.group_latency.setdefault(group, LatencyWindow())
    usual_s = window.quantile(parameters.hedge_quantile_ratio, 0.0)
    if not usual_s:
        return parameters.hedge_default_s
    return max(usual_s * parameters.hedge_margin_ratio, parameters.hedge_floor_s)


@on(HedgeDue)
def hedge(world: World, event: HedgeDue) -> None:
    """Send a slow subrequest to a second replica, now or when one has a slot to spare."""
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
        if row.name not in item.tried and _is_free(world, row, item)
    ]
    if not free or not budgets.spend_hedge(world, request.group):
        return False
    send(world, item, replica_choices.get(REPLICA_CHOICE)(free), hedge=True)
    return True
