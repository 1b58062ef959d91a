"""Parsing of YAML into nodes, and the plain values and lines of nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import yaml

from .problems import Problem, format_path
from .yaml_text import TextError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .problems import FieldPath

MAX_DEPTH = 16
"""Maximum nesting depth of mappings and sequences."""
MAX_DIGITS = 18
"""Maximum number of digits of an integer."""

_TAG = "tag:yaml.org,2002:"
_BOOLEANS = {"true": True, "false": False}


def compose(text: str) -> yaml.Node:
    """Return the root node of *text*; raises ``TextError``."""
    try:
        # The C loader limits the depth of its recursion; the Python loader does not.
        root = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line = mark.line + 1 if mark else 0
        message = exc.problem or exc.context or "unreadable"
        raise TextError(Problem("document", line, f"Not valid YAML: {message}.")) from None
    except yaml.YAMLError as exc:
        message = " ".join(str(exc).split())
        raise TextError(Problem("document", 0, f"Not valid YAML: {message}.")) from None
    if root is None:
        raise TextError(Problem("document", 1, "The text is empty."))
    return root


def nearest_line(node: yaml.Node, path: FieldPath) -> int:
    """Return the line of the field at *path*, or of its nearest ancestor that is present."""
    line = _line(node)
    for part in path:
        found = _child(node, part)
        if found is None:
            break
        line_node, node = found
        line = _line(line_node)
    return line


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


def _error(node: yaml.Node, path: FieldPath, message: str) -> TextError:
    return TextError(Problem(format_path(path), _line(node), message))


def plain_value(node: yaml.Node, path: FieldPath, seen: set[int]) -> Any:
    """Return the plain value of *node*; raises ``TextError``."""
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
            plain_value(item, (*path, position), seen) for position, item in enumerate(node.value)
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
        mapping[key] = plain_value(value_node, (*path, key), seen)
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
