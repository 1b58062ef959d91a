"""What the path of a request tells of its route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..journal import Call, Journal


def is_fan_out(call: Call) -> bool:
    """Return whether a request asks all shards."""
    return call.path.startswith("/all/")


def is_at_most_once(path: str) -> bool:
    """Return whether a request may not be repeated."""
    return path.startswith("/once/")


def prefix_of(path: str) -> str:
    """Return the prefix by which a path selects its route."""
    return path[: path.index("/", 1) + 1]


def may_reach(journal: Journal, call: Call, service: str) -> bool:
    """Return whether some version lets a request go to *service*."""
    return any(service in v.services.get(prefix_of(call.path), ()) for v in journal.versions)
