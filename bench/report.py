"""Markdown report of a benchmark run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .results import IDLE_MEASUREMENT, PLAIN, TIER
from .targets import all_verdicts

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

    from .results import Measurement, Results, Row
    from .targets import Verdict

BEGIN = "<!-- Tables of the bench -->"
END = "<!-- End of the tables of the bench -->"

_CALLER_COLUMNS = (
    "case",
    "load",
    "system",
    "group",
    "sent",
    "good/s",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "coverage",
    "coverage p1",
    "wrong",
    "refused or failed",
    "p99 / plain",
    "goodput / plain",
)
_SERVER_COLUMNS = (
    "case",
    "load",
    "system",
    "subrequests/shard",
    "hedges",
    "retries",
    "over slots",
    "cold overloads",
    "peak running",
    "connections",
    "shed",
    "CPU ms/query",
    "control CPU ms/query",
    "cores",
    "servers' cores",
)


def report(results: Results, header: Sequence[str]) -> str:
    """Return the report as Markdown, beginning with a list of the *header* lines."""
    parts = ["\n".join(f"- {line}" for line in header), _targets_section(all_verdicts(results))]
    for rig in dict.fromkeys(row.rig for row in results.rows):
        rows = [row for row in results.rows if row.rig == rig]
        parts.append(f"### {rig}")
        parts.append("Measured at the callers:\n\n" + _table(_CALLER_COLUMNS, _caller_rows(rows)))
        control_cores = _idle_cores(results, rig)
        lines = [_server_cells(row, control_cores) for row in _one_row_per_load(rows)]
        parts.append("Measured at the servers and daemons:\n\n" + _table(_SERVER_COLUMNS, lines))
    parts.append("### Single measurements\n\n" + _measurements_table(results.measurements))
    return "\n\n".join(parts) + "\n"


def write_report(text: str, path: Path) -> None:
    """Write a report to *path*; if the file has the two markers, replace only the text between."""
    page = path.read_text(encoding="utf-8") if path.exists() else ""
    if BEGIN in page and END in page:
        before, _, rest = page.partition(BEGIN)
        after = rest.partition(END)[2]
        text = f"{before}{BEGIN}\n\n{text}\n{END}{after}"
    path.write_text(text, encoding="utf-8")


def _targets_section(verdicts: Iterable[Verdict]) -> str:
    lines = [(v.target, v.measured, "met" if v.met else "**missed**") for v in verdicts]
    return "### Targets\n\n" + _table(("target", "measured", "verdict"), lines)


def _measurements_table(measurements: Iterable[Measurement]) -> str:
    lines = [(m.case, m.rig, m.name, f"{m.value:.3g} {m.unit}".strip()) for m in measurements]
    return _table(("case", "fleet", "measurement", "value"), lines)


def _caller_rows(rows: Sequence[Row]) -> list[Sequence[str]]:
    plain = {_load_key(row): row for row in rows if row.system == PLAIN}
    return [_caller_cells(row, plain.get(_load_key(row))) for row in rows]


def _load_key(row: Row) -> tuple[str, str, str, float]:
    return row.case, row.variant, row.group, row.load


def _caller_cells(row: Row, plain: Row | None) -> Sequence[str]:
    load_stats = row.load_stats
    latency = load_stats.latency
    refused = dict(load_stats.refused)
    if load_stats.lost:
        refused["connection lost"] = load_stats.lost
    return (
        _case_label(row),
        f"{row.load:g}",
        row.system,
        row.group,
        str(load_stats.sent),
        f"{row.goodput_qps:.1f}",
        f"{latency.p50_ms:.0f}",
        f"{latency.p99_ms:.0f}",
        f"{latency.p999_ms:.0f}",
        f"{load_stats.coverage_mean:.4f}",
        f"{load_stats.coverage_p1:.2f}",
        f"{row.check.wrong}/{row.check.checked}",
        ", ".join(f"{name} {count}" for name, count in refused.items()) or "-",
        *_ratios(row, plain),
    )


def _ratios(row: Row, plain: Row | None) -> tuple[str, str]:
    if plain is None or row is plain:
        return "", ""
    p99 = _ratio(row.load_stats.latency.p99_ms, plain.load_stats.latency.p99_ms)
    return p99, _ratio(row.goodput_qps, plain.goodput_qps)


def _ratio(value: float, base: float) -> str:
    return f"{value / base:.2f}" if base else "-"


def _idle_cores(results: Results, rig: str) -> float:
    """Return the number of cores that all daemons of a fleet use while idle."""
    shares = [m.value for m in results.measurements if m.rig == rig and m.name == IDLE_MEASUREMENT]
    daemons = int(rig.split()[-2])
    return shares[0] / 100 * daemons if shares else 0.0


def _server_cells(row: Row, control_cores: float) -> Sequence[str]:
    usage = row.usage
    control_ms = control_cores * usage.time_s * 1000 / max(row.sent_in_load, 1)
    servers = usage.servers
    retries = sum(
        count
        for name, count in usage.metrics.items()
        if name.startswith("retry.") and name != "retry.budget_empty"
    )
    return (
        _case_label(row),
        f"{row.load:g}",
        row.system,
        f"{row.subrequests_per_shard:.3f}",
        str(usage.metrics["subrequest.hedge"]),
        str(retries),
        str(servers.counts["over_slots"]),
        str(servers.counts["cold_overloads"]),
        str(servers.peaks["running_peak"]),
        str(servers.peaks["connections_peak"]),
        str(servers.outcomes["shed"]),
        f"{row.cpu_ms_per_query:.1f}",
        f"{control_ms:.1f}" if row.system == TIER and control_cores else "",
        f"{usage.cpu_s / usage.time_s:.2f}",
        f"{usage.servers_cpu_s / usage.time_s:.2f}",
    )


def _case_label(row: Row) -> str:
    return f"{row.case}: {row.variant}" if row.variant else row.case


def _one_row_per_load(rows: Sequence[Row]) -> list[Row]:
    """Return the last row of each load, since all rows of a load share its usage sample."""
    return list({id(row.usage): row for row in rows}.values())


def _table(header: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    rule = ["---"] * len(header)
    return "\n".join("| " + " | ".join(cells) + " |" for cells in (header, rule, *lines))
