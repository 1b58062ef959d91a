from __future__ import annotations

from bench.control.tables import Table


def test_table_shows_rows_and_regression_line():
    table = Table(("daemons", "ms"))
    for daemons in (10, 20, 30):
        table.add(daemons, 5 + 2 * daemons)
    text = table.render()
    assert "| 20 | 45 |" in text
    assert "- ms: 5 + 2 x (r2 1.000)" in text
