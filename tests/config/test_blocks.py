from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldwalk.config.blocks import partition_into_blocks
from marigoldwalk.config.view import Address, Server


def server(index: int, service: int, replica: int) -> Server:
    name = f"{index}-{service:02}-{replica}"
    address = Address("10.0.0.1", 8080)
    return Server(name, address, "uio-a", f"i-{index}", f"{index}-{service:02}", 2, 25)


SERVERS = st.sets(
    st.tuples(st.integers(0, 1), st.integers(0, 12), st.integers(0, 4)), max_size=40
).map(lambda places: tuple(server(*place) for place in sorted(places)))


@settings(derandomize=True, deadline=None)
@given(SERVERS, st.integers(1, 4), st.integers(1, 3), st.randoms(use_true_random=False))
def test_each_server_is_in_one_block_with_few_replicas_of_its_service(
    servers, block_services, block_replicas, random
):
    blocks = partition_into_blocks(servers, block_services, block_replicas)
    by_name = {server.name: server for server in servers}
    placed = [name for block in blocks for name in block.servers]
    assert sorted(placed) == sorted(by_name)
    assert len({block.name for block in blocks}) == len(blocks)
    for block in blocks:
        members = [by_name[name] for name in block.servers]
        services = [member.service for member in members]
        assert {member.index for member in members} == {block.index}
        assert all(services.count(service) <= block_replicas for service in services)
    shuffled = list(servers)
    random.shuffle(shuffled)
    assert partition_into_blocks(tuple(shuffled), block_services, block_replicas) == blocks


def block_names(servers: tuple[Server, ...], block_services: int) -> dict[str, str]:
    blocks = partition_into_blocks(servers, block_services, 2)
    return {name: block.name for block in blocks for name in block.servers}


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 30), st.integers(1, 6))
def test_a_new_service_moves_others_only_into_a_new_bucket(services, block_services):
    places = [(service, replica) for service in range(services) for replica in (0, 1)]
    servers = tuple(server(0, *place) for place in places)
    extended = (*servers, server(0, services, 0))
    before, after = block_names(servers, block_services), block_names(extended, block_services)
    buckets = -(-services // block_services)
    new_bucket = f"i-0/0/{buckets}"
    assert all(after[name] in (block, new_bucket) for name, block in before.items())
    if -(-(services + 1) // block_services) == buckets:
        assert all(after[name] == block for name, block in before.items())


def test_blocks_contain_the_configured_number_of_services_on_average():
    servers = tuple(server(0, service, replica) for service in range(60) for replica in range(2))
    blocks = partition_into_blocks(servers, 6, 2)
    assert len(blocks) == 10
    assert max(len(block.servers) for block in blocks) <= 2 * 2 * 6
