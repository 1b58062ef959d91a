"""Selectors: comma-separated requirements that a backend server's labels must meet.

::

    index=precedents, tier in (hot, warm), region!=coast, zone notin (a, b), spare, !legacy

``key`` requires the label to be present and ``!key`` requires it to be absent. Servers without the
label also meet ``!=`` and ``notin``. The keys ``name``, ``domain``, ``index`` and ``service`` refer
to the server's own fields.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .view import Server

BUILT_IN_KEYS = frozenset({"name", "domain", "index", "service"})
"""Keys that name a server's own fields and cannot be labels."""

_SELECTOR_CACHE_SIZE = 1024
_TOKEN = re.compile(
    r"\s*(?:(?P<word>[A-Za-z0-9][A-Za-z0-9._-]*)|(?P<sign>!=|==|[=!,()])|(?P<end>$))"
)


class SelectorError(ValueError):
    """Raised for a selector that cannot be parsed. ``position`` counts characters from 1."""

    def __init__(self, message: str, position: int) -> None:
        super().__init__(f"{message} at character {position}")
        self.position = position


class Requirement(Protocol):
    """One condition on a server's labels."""

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether *labels* meet the condition."""


@dataclass(frozen=True, slots=True)
class In:
    """The label is present and has one of the values."""

    key: str
    values: frozenset[str]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the label has one of the values."""
        return labels.get(self.key) in self.values


@dataclass(frozen=True, slots=True)
class NotIn:
    """The label is absent or has none of the values."""

    key: str
    values: frozenset[str]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the label has none of the values."""
        return labels.get(self.key) not in self.values


@dataclass(frozen=True, slots=True)
class Exists:
    """The label is present with any value."""

    key: str

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the label is present."""
        return self.key in labels


@dataclass(frozen=True, slots=True)
class Absent:
    """The label is absent."""

    key: str

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the label is absent."""
        return self.key not in labels


@dataclass(frozen=True, slots=True)
class Selector:
    """Requirements that must all be met."""

    requirements: tuple[Requirement, ...]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether *labels*, built-in keys included, meet all requirements."""
        return all(requirement.matches(labels) for requirement in self.requirements)


def selectable_labels(server: Server) -> dict[str, str]:
    """Return a server's labels together with the built-in keys."""
    labels = dict(server.labels)
    for key in BUILT_IN_KEYS:
        labels[key] = getattr(server, key)
    return labels


@lru_cache(maxsize=_SELECTOR_CACHE_SIZE)
def parse_selector(text: str) -> Selector:
    """Parse *text*; raises :class:`SelectorError` with the position of the error.

    An empty text is refused, because an exclusion whose selector was deleted by mistake would
    otherwise select every server.
    """
    return _Parser(text).selector()


@dataclass(frozen=True, slots=True)
class _Token:
    text: str
    position: int
    is_word: bool

    def __str__(self) -> str:
        return repr(self.text) if self.text else "the end"


def _tokens(text: str) -> list[_Token]:
    tokens: list[_Token] = []
    start = 0
    while True:
        match = _TOKEN.match(text, start)
        if match is None:
            blank = len(text[start:]) - len(text[start:].lstrip())
            position = start + blank
            raise SelectorError(f"Unexpected {text[position]!r}", position + 1)
        found = match.group(match.lastgroup)
        tokens.append(_Token(found, match.end() - len(found) + 1, match.lastgroup == "word"))
        if match.lastgroup == "end":
            return tokens
        start = match.end()


class _Parser:
    """A recursive-descent parser over the tokens of one selector."""

    def __init__(self, text: str) -> None:
        self._tokens = _tokens(text)
        self._next = 0

    def selector(self) -> Selector:
        requirements = [self._requirement()]
        while self._accept(","):
            requirements.append(self._requirement())
        if self._peek().text:
            raise self._error("',' or the end")
        return Selector(tuple(requirements))

    def _requirement(self) -> Requirement:
        if self._accept("!"):
            return Absent(self._expect_word("a label's key"))
        key = self._expect_word("a label's key")
        if self._accept("=") or self._accept("=="):
            return In(key, frozenset({self._expect_word("a value")}))
        if self._accept("!="):
            return NotIn(key, frozenset({self._expect_word("a value")}))
        if self._accept("in"):
            return In(key, self._values())
        if self._accept("notin"):
            return NotIn(key, self._values())
        return Exists(key)

    def _values(self) -> frozenset[str]:
        if not self._accept("("):
            raise self._error("'('")
        values = {self._expect_word("a value")}
        while self._accept(","):
            values.add(self._expect_word("a value"))
        if not self._accept(")"):
            raise self._error("',' or ')'")
        return frozenset(values)

    def _peek(self) -> _Token:
        return self._tokens[self._next]

    def _accept(self, text: str) -> bool:
        if self._peek().text != text:
            return False
        self._next += 1
        return True

    def _expect_word(self, wanted: str) -> str:
        token = self._peek()
        if not token.is_word:
            raise self._error(wanted)
        self._next += 1
        return token.text

    def _error(self, wanted: str) -> SelectorError:
        token = self._peek()
        return SelectorError(f"Expected {wanted}, found {token}", token.position)
