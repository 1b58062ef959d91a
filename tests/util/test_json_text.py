from __future__ import annotations

import pytest

from marigoldwalk.util.json_text import decode_json

NESTED = [b"[" * 2000, b'{"a":' * 2000, b"[" * 100_000 + b"]" * 100_000, b"[" * 1_048_576]
"""Texts whose nesting exceeds what the standard decoder follows."""


@pytest.mark.parametrize("text", NESTED, ids=["arrays", "objects", "closed", "large"])
def test_deeply_nested_text_is_a_value_error(text):
    with pytest.raises(ValueError, match="nested too deeply"):
        decode_json(text)


@pytest.mark.parametrize("text", ["NaN", "[Infinity]", '{"a": -Infinity}', "9" * 5000, "", b"\xff"])
def test_text_that_is_not_json_is_a_value_error(text):
    with pytest.raises(ValueError):  # noqa: PT011 (the messages are those of the standard library)
        decode_json(text)


def test_value_of_a_text_is_returned():
    assert decode_json(b'{"a": [1, 2.5, null]}') == {"a": [1, 2.5, None]}
