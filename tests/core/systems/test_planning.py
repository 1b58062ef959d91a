from __future__ import annotations

from marigoldwalk.core.systems.planning import pin_snapshot

from ..fleet import FleetDriver


def test_pin_excludes_blocks_with_outdated_status():
    fleet = FleetDriver(daemons=3)
    fleet.run(3.0)
    world = fleet.nodes["m-1"].core.world
    index = fleet.view.blocks[0].index
    assert len(pin_snapshot(world, index).blocks_of_shard) == pin_snapshot(world, index).shard_count

    fleet.network.split(["m-1"], ["m-2", "m-3"])
    for _ in range(40):
        fleet.run(0.25)
        pin = pin_snapshot(world, index)
        pinned_blocks = {block for blocks in pin.blocks_of_shard.values() for block in blocks}
        oldest_allowed = world.now - world.parameters.status_age_s
        assert all(world.blocks[block].status_at >= oldest_allowed for block in pinned_blocks)

    fleet.network.heal()
    fleet.run(3.0)
    pin = pin_snapshot(world, index)
    assert len(pin.blocks_of_shard) == pin.shard_count
