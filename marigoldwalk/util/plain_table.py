"""Formatting of tables and records as plain text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


def plain_table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with *headers* and *rows*; each column is as wide as its longest cell."""
    lines = [headers, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def plain_record(record: Mapping[str, Any]) -> str:
    """Return a JSON object as a table of its fields and one table for each list of objects."""
    tables = {name: value for name, value in record.items() if _is_table(value)}
    values = [[name, plain_cell(value)] for name, value in record.items() if name not in tables]
    parts = [plain_table(["field", "value"], values)]
    for name, rows in tables.items():
        headers = list(dict.fromkeys(header for row in rows for header in row))
        cells = [[plain_cell(row.get(header, "")) for header in headers] for row in rows]
        parts.append(f"{name}:\n{plain_table(headers, cells)}")
    return "\n\n".join(parts)


def plain_cell(value: Any) -> str:
    """Return a JSON value as one line of text."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(plain_cell, value)) or "-"
    if isinstance(value, dict):
        return ", ".join(f"{key}={plain_cell(item)}" for key, item in value.items()) or "-"
    return str(value)


def _is_table(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(row, dict) for row in value)
