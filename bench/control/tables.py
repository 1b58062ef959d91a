"""Markdown tables of measurements, with a linear regression of each column."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import correlation, linear_regression


@dataclass(slots=True)
class Table:
    """Rows of numbers; the first column is the varied size."""

    headers: tuple[str, ...]
    rows: list[tuple[float, ...]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *values: float) -> None:
        """Add a row."""
        self.rows.append(values)

    def render(self) -> str:
        """Return the table and the regression line of each column as Markdown."""
        lines = [_line(self.headers), _line(["---:"] * len(self.headers))]
        lines += [_line([_format_number(value) for value in row]) for row in self.rows]
        return "\n".join([*lines, "", *self._slopes(), *self.notes])

    def _slopes(self) -> list[str]:
        varied = [row[0] for row in self.rows]
        if len(set(varied)) < 2:
            return []
        span = f"{_format_number(min(varied))} to {_format_number(max(varied))}"
        lines = [f"Slopes for {self.headers[0]} from {span}:"]
        for column, header in enumerate(self.headers[1:], 1):
            values = [row[column] for row in self.rows]
            slope, start = linear_regression(varied, values)
            fit = correlation(varied, values) ** 2 if len(set(values)) > 1 else 1.0
            lines.append(
                f"- {header}: {_format_number(start)} + {_format_number(slope)} x (r2 {fit:.3f})"
            )
        return lines


def _line(cells: list[str] | tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"


def _format_number(value: float) -> str:
    if value == int(value) and abs(value) < 1e9:
        return f"{int(value):,}"
    return f"{value:,.4g}"
