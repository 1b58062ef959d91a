"""The promises, checked against what callers and backend servers saw."""

from __future__ import annotations

from . import answers, arrivals, changes, processes  # noqa: F401 (they register)
from .registry import TIMING_INDEPENDENT, Violation, check_all

__all__ = ["UNTIMED", "Violation", "check_all"]
