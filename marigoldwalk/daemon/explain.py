"""Status reports for operators, read from the core's tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ..config.view import Group, Server, View
    from ..core.tables import BlockRow, PeerRow, ServerRow
    from ..core.world import World


def status(world: World) -> dict[str, Any]:
    """Return the daemon's identity, readiness, configuration, peers and table sizes."""
    daemon_state = world.daemon_state
    view = world.view
    return {
        "name": world.identity.name,
        "domain": world.identity.domain,
        "address": str(world.identity.address),
        "started_at": world.identity.started_at,
        "now": world.now,
        "ready": daemon_state.ready,
        "stopping": daemon_state.stopping,
        "revision": view.revision if view else 0,
        "digest": view.digest if view else "",
        "revision_confirmed_at": daemon_state.revision_confirmed_at,
        "list_version": daemon_state.list_version,
        "list_confirmed_at": daemon_state.list_confirmed_at,
        "peers": [_peer_fields(peer) for peer in world.peers.values()],
        "counts": {
            "servers": len(world.servers),
            "blocks": len(world.blocks),
            "queries": len(world.queries),
            "jobs": len(world.jobs),
            "attempts": len(world.attempts),
            "claims": len(world.claims),
            "promises": len(world.promises),
            "suspects": len(world.suspects),
        },
    }


def explain(world: World, name: str) -> dict[str, Any] | None:
    """Return the servers of group *name* and their states, or ``None`` for an unknown group."""
    view = world.view
    group = view.group_by_name.get(name) if view else None
    if view is None or group is None:
        return None
    return {
        "group": group.name,
        "index": group.index,
        "select": group.select,
        "priority": group.priority,
        "deadline_ms": group.deadline_ms,
        "repeatable": group.repeatable,
        "revision": view.revision,
        "servers": [_server_fields(world, view, server) for server in _servers_of(view, group)],
    }


def _servers_of(view: View, group: Group) -> list[Server]:
    return [server for server in view.servers if server.name in group.servers]


def _server_fields(world: World, view: View, server: Server) -> dict[str, Any]:
    block = view.block_of_server.get(server.name)
    block_row = world.blocks.get(block.name) if block else None
    return {
        "name": server.name,
        "address": str(server.address),
        "domain": server.domain,
        "service": server.service,
        "labels": dict(server.labels),
        "excluded": server.name in view.excluded,
        "block": block.name if block else "",
        "slots": server.slots,
        **_home_fields(block_row),
        **_state_fields(world.servers.get(server.name), world.now),
    }


def _home_fields(row: BlockRow | None) -> dict[str, Any]:
    if row is None:
        return {"homes": [], "role": "none", "allowance": "none"}
    return {
        "homes": list(row.homes),
        "role": row.role.value,
        "allowance": row.allowance.value,
    }


def _state_fields(row: ServerRow | None, now: float) -> dict[str, Any]:
    """Return the state of a server, which only the homes of its block know."""
    if row is None:
        return {"state": "unknown here"}
    return {
        "state": _state_name(row, now),
        "incarnation": row.incarnation,
        "limit": row.limit,
        "in_flight": len(row.running),
        "reported_cold": row.reported_cold,
        "snapshots": [holding.snapshot for holding in row.holdings],
    }


def _state_name(row: ServerRow, now: float) -> str:
    if not row.usable:
        return "lost"
    if row.draining_until > now:
        return "draining"
    if row.paused_until > now:
        return "paused"
    return "usable"


def _peer_fields(row: PeerRow) -> dict[str, Any]:
    return {
        "name": row.name,
        "address": str(row.address),
        "domain": row.domain,
        "listed": row.listed,
        "leaving": row.leaving,
        "reachable": row.reachable,
        "heard_at": row.heard_at,
        "revision": row.revision,
        "digest": row.digest,
        "list_version": row.list_version,
    }
