"""The registry of promises that a run's journal is checked against."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from marigoldwalk.util.registry import Registry

if TYPE_CHECKING:
    from ..journal import Journal


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and by what."""

    guarantee: str
    at: float
    detail: str


Check = "Callable[[Journal], Iterator[tuple[float, str]]]"

guarantees: Registry[Check] = Registry("promise")

TIMING_INDEPENDENT = frozenset(
    (
        "whole answers",
        "nothing unasked",
        "runs once",
        "not run is true",
        "right service",
        "attempts",
        "repeats",
        "configuration never back",
        "processes live",
    )
)
"""Promises that hold however slow the machine is."""


def check_all(journal: Journal) -> list[Violation]:
    """Return every broken promise, earliest first."""
    found = [
        Violation(name, at, detail)
        for name in guarantees.names()
        for at, detail in guarantees.get(name)(journal)
    ]
    return sorted(found, key=lambda violation: violation.at)
