"""Search in the log lines of daemons."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


def lines_of_request(request: str, texts: Iterable[str]) -> list[str]:
    """Return the JSON lines in *texts* that name *request*, in order of time."""
    found = [
        record for text in texts for record in _records(text) if record.get("request") == request
    ]
    found.sort(key=lambda record: str(record.get("time", "")))
    return [json.dumps(record, ensure_ascii=False) for record in found]


def _records(text: str) -> Iterator[dict[str, Any]]:
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            # Other programs write into the same logs.
            continue
        if isinstance(record, dict):
            yield record
