"""Decoding of JSON texts that other programs have written."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


def decode_json(
    text: str | bytes, object_pairs_hook: Callable[[list[tuple[str, Any]]], Any] | None = None
) -> Any:
    """Return the value of *text*; raises ``ValueError`` for any text that cannot be decoded.

    The standard decoder raises ``RecursionError`` for deeply nested texts, which is not a
    ``ValueError``, and it takes ``NaN`` and ``Infinity`` for numbers, which are not JSON::

        decode_json(b"[" * 2000)  # ValueError

    *object_pairs_hook* is that of :func:`json.loads`.
    """
    try:
        return json.loads(
            text, object_pairs_hook=object_pairs_hook, parse_constant=_refuse_constant
        )
    except RecursionError:
        raise ValueError("the text is nested too deeply") from None


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")
