"""Problems in a configuration text, each with its field path and line."""

from __future__ import annotations

from dataclasses import dataclass

FieldPath = tuple[str | int, ...]
"""Keys of mappings and positions in sequences, from the root to a field."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a document. ``line`` counts from 1 and is 0 if it is unknown."""

    path: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.line}: {self.path}: {self.message}"


@dataclass(frozen=True, slots=True)
class Rejected:
    """A falsy result: the problems for which a document is rejected."""

    problems: tuple[Problem, ...]

    def __bool__(self) -> bool:
        return False


def format_path(path: FieldPath) -> str:
    """Return a field path as text, such as ``servers[3].name``; the root is ``document``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text or "document"
