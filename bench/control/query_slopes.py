"""Cost of queries at the entry daemon and the home daemon, and of claims of request ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldwalk.core import peer_messages as messages
from marigoldwalk.core.events import PeerReceived, QueryReceived
from marigoldwalk.core.tables import Role

from .layouts import Layout
from .meter import lowest_of_repeats
from .registry import slopes
from .simulated_fleet import HIT_BODY, SNAPSHOT, SimulatedFleet
from .tables import Table

if TYPE_CHECKING:
    from marigoldwalk.config.view import Block

US_PER_S = 1e6
QUERIES = 60
CLAIMS = 20
_BODY = f'{{"text":"muro medianero","near":{HIT_BODY}}}'
_QUERY_KINDS = ("QueryReceived", "BlockReply", "decode BlockReply", "encode BlockRequest")
_BLOCK_REQUEST_KINDS = ("BlockRequest", "ServerReply", "decode BlockRequest", "encode BlockReply")


@slopes.register("entry")
def vary_width() -> Table:
    """CPU time of the entry daemon per query of 20 to 140 shards, with 6 services per block."""
    table = Table(("width", "blocks", "CPU us/query", "messages/query", "bytes/query"))
    for services in (20, 50, 100, 140):
        layout = Layout(indexes=1, services=services, replicas=10)
        table.add(services, -(-services // layout.block_services), *_entry_cost(layout))
    return table


@slopes.register("entry-blocks")
def vary_block_size() -> Table:
    """CPU time of the entry daemon per query of 140 shards, divided into 4 to 70 blocks."""
    table = Table(("blocks", "CPU us/query", "messages/query", "bytes/query"))
    for block_services in (2, 6, 14, 35):
        layout = Layout(indexes=1, block_services=block_services)
        table.add(-(-140 // block_services), *_entry_cost(layout))
    return table


@slopes.register("entry-indexes")
def vary_indexes() -> Table:
    """CPU time of the entry daemon per query of 140 shards, with queries to 1 to 25 indexes."""
    table = Table(("indexes", "CPU us/query", "messages/query", "bytes/query"))
    for indexes in (1, 5, 25):
        table.add(indexes, *_entry_cost(Layout(indexes=indexes)))
    return table


def _entry_cost(layout: Layout) -> tuple[float, ...]:
    fleet = SimulatedFleet(100, layout)
    # Only the measured daemon accepts queries. It serves its own blocks without peer messages.
    fleet.run(2.0)
    return lowest_of_repeats(lambda: _measure_queries(fleet, layout.indexes))


def _measure_queries(fleet: SimulatedFleet, indexes: int) -> tuple[float, ...]:
    meter = fleet.daemon.meter
    meter.clear()
    fleet.answers.clear()
    first = fleet.reserve_numbers(QUERIES)
    for number in range(first, first + QUERIES):
        fleet.post(QueryReceived(number, f"g{number % indexes:02}-000", _BODY))
        fleet.run(0.01)
    fleet.run(0.1)
    _require_all_answered(len(fleet.answers), QUERIES)
    seconds = sum(meter.seconds[kind] for kind in _QUERY_KINDS)
    messages_count = meter.messages_out["BlockRequest"] + meter.messages_in["BlockReply"]
    bytes_count = meter.bytes_out["BlockRequest"] + meter.bytes_in["BlockReply"]
    return seconds * US_PER_S / QUERIES, messages_count / QUERIES, bytes_count / QUERIES


def _require_all_answered(answered: int, asked: int) -> None:
    if answered != asked:
        raise RuntimeError(f"only {answered} of {asked} requests were answered")


@slopes.register("home")
def vary_shards_of_block() -> Table:
    """CPU time of the home daemon per block request of 2 to 35 shards, excluding sockets."""
    table = Table(("shards", "CPU us/request", "us/subrequest", "bytes/request"))
    for block_services in (2, 6, 14, 35):
        table.add(block_services, *_home_cost(block_services))
    return table


def _home_cost(block_services: int) -> tuple[float, ...]:
    layout = Layout(services=4 * block_services, replicas=2, block_services=block_services, slots=8)
    fleet = SimulatedFleet(2, layout)
    fleet.run(2.0)
    _send_block_requests(fleet)
    return lowest_of_repeats(lambda: _measure_block_requests(fleet, block_services))


def _measure_block_requests(fleet: SimulatedFleet, block_services: int) -> tuple[float, ...]:
    meter = fleet.daemon.meter
    meter.clear()
    fleet.replies.clear()
    _send_block_requests(fleet)
    _require_all_answered(sum(not reply.missing for reply in fleet.replies), QUERIES)
    seconds = sum(meter.seconds[kind] for kind in _BLOCK_REQUEST_KINDS)
    bytes_count = meter.bytes_in["BlockRequest"] + meter.bytes_out["BlockReply"]
    per_request_us = seconds * US_PER_S / QUERIES
    return per_request_us, per_request_us / block_services, bytes_count / QUERIES


def _send_block_requests(fleet: SimulatedFleet) -> None:
    block = _own_block(fleet)
    first = fleet.reserve_numbers(QUERIES)
    for number in range(first, first + QUERIES):
        request = messages.BlockRequest(
            task=number,
            block=block.name,
            group="g00-000",
            index=block.index,
            snapshot=SNAPSHOT,
            shards=_shards(fleet, block.name),
            body=_BODY,
            fingerprint="00",
            request_id="",
            priority=0,
            merge="top",
            limit=10,
            answer_by=fleet.now + 1.0,
            deadline=fleet.now + 1.0,
            min_coverage=0.0,
            canary=False,
        )
        fleet.post(PeerReceived("m-0001", request))
        fleet.run(0.01)
    fleet.run(0.5)


def _own_block(fleet: SimulatedFleet) -> Block:
    """Return a block whose first home is the measured daemon."""
    return next(
        block
        for block in fleet.world.view.blocks
        if fleet.world.blocks[block.name].role is Role.FIRST
    )


def _shards(fleet: SimulatedFleet, block: str) -> tuple[int, ...]:
    replica_sets = fleet.world.view.replica_sets_of_block[block]
    return tuple(int(replicas.servers[0].service[-3:]) for replicas in replica_sets)


@slopes.register("claims")
def vary_claims() -> Table:
    """CPU time of the entry daemon per claim of a request id, with 6 to 4,700 daemons."""
    table = Table(("daemons", "CPU us/claim", "messages/claim", "bytes/claim"))
    for daemons in (6, 20, 100, 1000, 4700):
        table.add(daemons, *_claim_cost(daemons))
    return table


def _claim_cost(daemons: int) -> tuple[float, ...]:
    fleet = SimulatedFleet(daemons, Layout(services=48, replicas=2, repeatable=False))
    fleet.run(15.0)
    return lowest_of_repeats(lambda: _measure_claims(fleet))


def _measure_claims(fleet: SimulatedFleet) -> tuple[float, ...]:
    meter = fleet.daemon.meter
    meter.clear()
    fleet.answers.clear()
    first = fleet.reserve_numbers(CLAIMS)
    for number in range(first, first + CLAIMS):
        request_id = f"request-{number}"
        fleet.post(QueryReceived(number, "g00-000", _BODY, "key", 0, 0, request_id, fleet.now))
        fleet.run(0.01)
    fleet.run(0.1)
    kinds = ("ClaimReply", "decode ClaimReply", "encode ClaimRequest", "encode ClaimFinished")
    seconds = sum(meter.seconds[kind] for kind in (*kinds, "QueryReceived"))
    messages_count = sum(meter.messages_out[kind] for kind in ("ClaimRequest", "ClaimFinished"))
    bytes_count = sum(meter.bytes_out[kind] for kind in ("ClaimRequest", "ClaimFinished"))
    messages_count += meter.messages_in["ClaimReply"]
    bytes_count += meter.bytes_in["ClaimReply"]
    _require_all_answered(len(fleet.answers), CLAIMS)
    return seconds * US_PER_S / CLAIMS, messages_count / CLAIMS, bytes_count / CLAIMS
