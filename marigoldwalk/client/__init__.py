"""The client library for callers."""

from __future__ import annotations

from .answer import Answer, Coverage, Hit, MissingShard
from .client import Client
from .options import QueryOptions
from .pending import PendingQuery

__all__ = [
    "Answer",
    "Client",
    "Coverage",
    "Hit",
    "MissingShard",
    "PendingQuery",
    "QueryOptions",
]
