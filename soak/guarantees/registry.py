"""The registry of the guarantees against which a run's journal is checked."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from marigoldwalk.util.registry import Registry

if TYPE_CHECKING:
    from ..journal import Journal


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a guarantee at one time, and its cause."""

    guarantee: str
    at: float
    detail: str


Check = "Callable[[Journal], Iterator[tuple[float, str]]]"

guarantees: Registry[Check] = Registry("guarantee")

TIMING_INDEPENDENT = frozenset(
    (
        "correct answers",
        "no unsolicited requests",
        "workspaces",
        "at most once",
        "rejected requests never run",
        "correct service",
        "attempt limit",
        "retry budget",
        "monotonic configuration",
        "no unexpected exits",
    )
)
"""Guarantees that apply however slow the machine is."""


def check_all(journal: Journal) -> list[Violation]:
    """Check all guarantees and return the violations in order of time."""
    found = [
        Violation(name, at, detail)
        for name in guarantees.names()
        for at, detail in guarantees.get(name)(journal)
    ]
    return sorted(found, key=lambda violation: violation.at)
