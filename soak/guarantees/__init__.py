"""Checks of the gateway's guarantees against the journal of a run."""

from __future__ import annotations

from . import answers, arrivals, changes, processes  # noqa: F401 (register guarantees)
from .registry import TIMING_INDEPENDENT, Violation, check_all

__all__ = ["TIMING_INDEPENDENT", "Violation", "check_all"]
