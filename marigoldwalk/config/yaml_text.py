"""Parsing of YAML into plain values, with the line of each field.

The parser accepts only the part of YAML that configuration needs: mappings with string keys,
sequences, strings, decimal numbers, booleans and null. It refuses aliases, merge keys, other tags
and repeated keys, so that a text has only one meaning and its size limits the cost of validating
it.

A text that is valid JSON is read with the JSON parser, which is several times faster. Large
documents should therefore be published as JSON. The YAML parser is loaded with the first text that
is not JSON, since callers wait for the start of a daemon.
"""

from __future__ import annotations

import gc
from contextlib import contextmanager
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING, Any

from ..util.json_text import decode_json
from .problems import Problem, Rejected, format_path

if TYPE_CHECKING:
    from collections.abc import Iterator

    import yaml

    from .problems import FieldPath

MAX_TEXT_BYTES = 1_048_576
"""Size of the largest text that is parsed; the platform stores no larger value."""


class TextError(Exception):
    """Raised for a text that cannot be parsed, with the problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.message)
        self.problem = problem


@dataclass(frozen=True)
class ParsedText:
    """The plain value of a text, and the lines of its fields."""

    value: Any
    text: str

    @cached_property
    def _root(self) -> yaml.Node | None:
        from . import yaml_nodes

        try:
            return yaml_nodes.compose(self.text)
        except TextError:
            # Some valid JSON is not valid YAML, such as a string with an unprintable character.
            return None

    def line_of(self, path: FieldPath) -> int:
        """Return the line of the field at *path*, or of its nearest ancestor that is present."""
        from . import yaml_nodes

        return yaml_nodes.nearest_line(self._root, path) if self._root is not None else 0

    def problem(self, path: FieldPath, message: str) -> Problem:
        """Return a problem with the field at *path*."""
        return Problem(format_path(path), self.line_of(path), message)


def parse_yaml(text: str) -> ParsedText | Rejected:
    """Return the value of *text*, or the problem found; does not raise for any text."""
    try:
        _check_size(text)
        return ParsedText(_read(text), text)
    except TextError as exc:
        return Rejected((exc.problem,))


def _read(text: str) -> Any:
    # JSON escapes can encode characters that YAML refuses, such as an unpaired surrogate.
    if text.lstrip()[:1] == "{" and "\\" not in text:
        try:
            return decode_json(text, object_pairs_hook=_object)
        except ValueError:
            # The YAML parser either accepts the text or reports the problem with its line.
            pass
    from . import yaml_nodes

    with _garbage_collector_paused():
        return yaml_nodes.plain_value(yaml_nodes.compose(text), (), set())


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) < len(pairs):
        raise ValueError("repeated key")
    return mapping


@contextmanager
def _garbage_collector_paused() -> Iterator[None]:
    """Disable the garbage collector, which would traverse the many nodes again and again."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _check_size(text: str) -> None:
    try:
        size = len(text.encode())
    except UnicodeEncodeError:
        raise TextError(Problem("document", 0, "The text is not valid Unicode.")) from None
    if size > MAX_TEXT_BYTES:
        message = f"The text has {size} bytes; at most {MAX_TEXT_BYTES} are read."
        raise TextError(Problem("document", 0, message))
