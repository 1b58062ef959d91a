"""Findings of a check of a routing configuration."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Severity(IntEnum):
    """How much a finding matters; the higher, the worse."""

    CHANGE = 0
    """A difference from the configuration in force, which may be intended."""
    WARNING = 1
    """The configuration can be applied, but part of it has no effect or an unlikely one."""
    ERROR = 2
    """Some requests could never be answered as the configuration says."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding: the entry of the configuration, and what is wrong with it or changes."""

    severity: Severity
    entry: str
    """The kind and name of the entry, such as ``route stock``."""
    reason: str

    def __str__(self) -> str:
        return f"{self.severity.name.lower()}: {self.entry}: {self.reason}"
