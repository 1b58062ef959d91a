"""Search in the logs of daemons."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from .json_text import decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


def lines_of_request(request: str, texts: Iterable[str]) -> list[str]:
    """Return the JSON log lines in *texts* that belong to *request*, in order of time."""
    matching = [
        record for text in texts for record in _records(text) if record.get("request") == request
    ]
    matching.sort(key=lambda record: str(record.get("time", "")))
    return [json.dumps(record, ensure_ascii=False) for record in matching]


def _records(text: str) -> Iterator[dict[str, Any]]:
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = decode_json(line[start:])
        except ValueError:
            # Other programs write to the same logs.
            continue
        if isinstance(record, dict):
            yield record
