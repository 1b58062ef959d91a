"""Parsing of YAML into plain values, with the line of each field.

The parser accepts only the part of YAML that configuration needs: mappings with string keys,
sequences, strings, decimal numbers, booleans and null. It refuses aliases, merge keys, other tags
and repeated keys, so that a text has only one meaning and its size limits the cost of validating
it.

A text that is valid JSON is read with the JSON parser, which is several times faster. Large
documents should therefore be published as JSON.
"""

from __future__ import annotations

import gc
import json
from contextlib import contextmanager
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING, Any

import yaml

from .problems import Problem, Rejected, format_path

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .problems import FieldPath

MAX_TEXT_BYTES = 1_048_576
"""Size of the largest text that is parsed; the platform stores no larger value."""
MAX_DEPTH = 16
"""Maximum nesting depth of mappings and sequences."""
MAX_DIGITS = 18
"""Maximum number of digits of an integer."""

_TAG = "tag:yaml.org,2002:"
_BOOLEANS = {"true": True, "false": False}


class _TextError(Exception):
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
        try:
            return _compose(self.text)
        except _TextError:
            # Some valid JSON is not valid YAML, such as a string with an unprintable character.
            return None

    def line_of(self, path: FieldPath) -> int:
        """Return the line of the field at *path*, or of its nearest ancestor that is present."""
        node = self._root
        if node is None:
            return 0
        line = _line(node)
        for part in path:
            found = _child(node, part)
            if found is None:
                break
            line_node, node = found
            line = _line(line_node)
        return line

    def problem(self, path: FieldPath, message: str) -> Problem:
        """Return a problem with the field at *path*."""
        return Problem(format_path(path), self.line_of(path), message)


def parse_yaml(text: str) -> ParsedText | Rejected:
    """Return the value of *text*, or the problem found; does not raise for any text."""
    try:
        _check_size(text)
        return ParsedText(_read(text), text)
    except _TextError as exc:
        return Rejected((exc.problem,))


def _read(text: str) -> Any:
    # JSON escapes can encode characters that YAML refuses, such as an unpaired surrogate.
    if text.lstrip()[:1] == "{" and "\\" not in text:
        try:
            return _read_json(text)
        except (ValueError, RecursionError):
            # The YAML parser either accepts the text or reports the problem with its line.
            pass
    with _garbage_collector_paused():
        return _plain_value(_compose(text), (), set())


def _read_json(text: str) -> Any:
    return json.loads(text, object_pairs_hook=_object, parse_constant=_refuse_constant)


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) < len(pairs):
        raise ValueError("repeated key")
    return mapping


def _refuse_constant(name: str) -> Any:
    raise ValueError(name)


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
        raise _TextError(Problem("document", 0, "The text is not valid Unicode.")) from None
    if size > MAX_TEXT_BYTES:
        message = f"The text has {size} bytes; at most {MAX_TEXT_BYTES} are read."
        raise _TextError(Problem("document", 0, message))


def _compose(text: str) -> yaml.Node:
    try:
        # The C loader limits the depth of its recursion; the Python loader does not.
        root = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line = mark.line + 1 if mark else 0
        message = exc.problem or exc.context or "unreadable"
        raise _TextError(Problem("document", line, f"Not valid YAML: {message}.")) from None
    except yaml.YAMLError as exc:
        message = " ".join(str(exc).split())
        raise _TextError(Problem("document", 0, f"Not valid YAML: {message}.")) from None
    if root is None:
        raise _TextError(Problem("document", 1, "The text is empty."))
    return root


def _line(node: yaml.Node) -> int:
    return node.start_mark.line + 1


def _child(node: yaml.Node, part: str | int) -> tuple[yaml.Node, yaml.Node] | None:
    """Return the node whose line is reported for a child, and the child itself."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == part:
                return key, value
    elif isinstance(node, yaml.SequenceNode) and isinstance(part, int) and part < len(node.value):
        return node.value[part], node.value[part]
    return None


def _error(node: yaml.Node, path: FieldPath, message: str) -> _TextError:
    return _TextError(Problem(format_path(path), _line(node), message))


def _plain_value(node: yaml.Node, path: FieldPath, seen: set[int]) -> Any:
    if id(node) in seen:
        raise _error(node, path, "Aliases are not allowed.")
    seen.add(id(node))
    if isinstance(node, yaml.ScalarNode):
        return _scalar(node, path)
    if len(path) >= MAX_DEPTH:
        raise _error(node, path[:4], f"Nested deeper than {MAX_DEPTH} levels.")
    if isinstance(node, yaml.MappingNode) and node.tag == _TAG + "map":
        return _mapping(node, path, seen)
    if isinstance(node, yaml.SequenceNode) and node.tag == _TAG + "seq":
        return [
            _plain_value(item, (*path, position), seen) for position, item in enumerate(node.value)
        ]
    raise _error(node, path, f"The tag {node.tag} is not allowed.")


def _mapping(node: yaml.MappingNode, path: FieldPath, seen: set[int]) -> dict[str, Any]:
    mapping: dict[str, Any] = {}
    for key_node, value_node in node.value:
        if key_node.tag != _TAG + "str":
            raise _error(key_node, path, "Keys must be strings.")
        key = key_node.value
        if key in mapping:
            raise _error(key_node, (*path, key), "The key stands twice.")
        mapping[key] = _plain_value(value_node, (*path, key), seen)
    return mapping


def _scalar(node: yaml.ScalarNode, path: FieldPath) -> Any:
    tag = node.tag
    if tag == _TAG + "str":
        return node.value
    convert = _CONVERTERS.get(tag)
    if convert is None:
        raise _error(
            node, path, f"The tag {tag} is not allowed; quote the value if it is a string."
        )
    try:
        return convert(node.value)
    except (KeyError, ValueError):
        message = f"{node.value[:40]!r} is ambiguous; write true, false, null, a decimal or quotes."
        raise _error(node, path, message) from None


def _integer(text: str) -> int:
    digits = text.lstrip("-")
    if not digits.isdecimal() or len(digits) > MAX_DIGITS or (digits[0] == "0" and digits != "0"):
        raise ValueError(text)
    return int(text)


_CONVERTERS: dict[str, Callable[[str], Any]] = {
    _TAG + "int": _integer,
    _TAG + "float": float,
    _TAG + "bool": _BOOLEANS.__getitem__,
    _TAG + "null": lambda text: None,
}
