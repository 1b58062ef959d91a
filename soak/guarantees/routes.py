"""Properties of a request's route, derived from its path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..journal import Call, Journal


def is_fan_out(call: Call) -> bool:
    """Return whether a request is sent to all shards."""
    return call.path.startswith("/all/")


def is_at_most_once(path: str) -> bool:
    """Return whether a request must not be executed more than once."""
    return path.startswith("/once/")


def prefix_of(path: str) -> str:
    """Return the path prefix that selects the route."""
    return path[: path.index("/", 1) + 1]


def may_reach(journal: Journal, call: Call, service: str) -> bool:
    """Return whether any version routes a request to *service*."""
    return any(service in v.services.get(prefix_of(call.path), ()) for v in journal.versions)
