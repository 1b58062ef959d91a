"""Tests of the report and of its insertion into a page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.report import BEGIN, END, report, write_report
from bench.results import Results

if TYPE_CHECKING:
    from pathlib import Path


def test_report_replaces_the_text_between_the_markers(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n", encoding="utf-8")
    write_report("new", page)
    assert page.read_text(encoding="utf-8") == f"before\n{BEGIN}\n\nnew\n{END}\nafter\n"


def test_report_without_results_begins_with_its_header() -> None:
    assert report(Results(), ["seed 1"]).startswith("- seed 1\n")
