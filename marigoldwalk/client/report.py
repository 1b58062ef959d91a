"""Formatting of answers as text and as JSON."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict
from typing import TYPE_CHECKING

from ..util.plain_table import plain_table

if TYPE_CHECKING:
    from .answer import Answer, Coverage

MAX_CELL_CHARACTERS = 60
"""Longest part of a hit's body that a table shows."""


def answer_as_json(answer: Answer) -> str:
    """Return the whole answer as indented JSON."""
    fields = asdict(answer)
    fields["code"] = answer.code.value
    fields["name"] = answer.code.name
    fields["execution"] = answer.execution.value
    fields["coverage"]["ratio"] = answer.coverage.ratio
    return json.dumps(fields, indent=2, ensure_ascii=False)


def answer_as_text(answer: Answer) -> str:
    """Return the answer as a heading, its coverage and a table of hits."""
    lines = [f"{answer.code.name} ({answer.code.value}), {answer.execution.value}"]
    if answer.reason:
        lines.append(answer.reason)
    if answer.request_id:
        lines.append(f"request id {answer.request_id}")
    if answer.retry_after_s:
        lines.append(f"retry after {answer.retry_after_s:.3f} s")
    if answer.snapshot:
        lines.append(f"index {answer.index}, snapshot {answer.snapshot}")
    if answer.coverage.shards:
        lines.append(_coverage(answer.coverage))
    if answer.hits:
        rows = [[hit.key, f"{hit.score:g}", _cell(hit.body)] for hit in answer.hits]
        lines += ["", plain_table(["key", "score", "body"], rows)]
    if answer.daemon:
        lines += ["", f"{answer.elapsed_s * 1000:.1f} ms at {answer.daemon}"]
    return "\n".join(lines)


def _coverage(coverage: Coverage) -> str:
    text = f"{coverage.answered} of {coverage.shards} shards"
    for reason, count in sorted(Counter(item.reason for item in coverage.missing).items()):
        text += f"; {count} missing: {reason}"
    return text


def _cell(body: object) -> str:
    text = json.dumps(body, ensure_ascii=False)
    return text if len(text) <= MAX_CELL_CHARACTERS else f"{text[:MAX_CELL_CHARACTERS]}..."
