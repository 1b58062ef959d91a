"""Benchmark cases; importing this package registers all of them."""

from . import changes, domains, faults, loads, restarts
from .registry import cases

__all__ = ["cases", "changes", "domains", "faults", "loads", "restarts"]
