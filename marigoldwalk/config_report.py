"""The report on a routing configuration that an operator is about to publish."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from .config.text_files import read_text
from .errors import Code
from .gateway.config_dump import load_config
from .platform.records import ConfigProblems, decode_config
from .routing.config_changes import compare_configs
from .routing.config_check import check_config
from .routing.findings import Finding, Severity

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

VALID, WARNED, INVALID = range(3)
"""Exit statuses: nothing to mend, warnings in a strict check, and errors."""


def check_routing_config(
    path: Path,
    text: str,
    against: Path | None,
    in_force: dict[str, Any] | None,
    is_strict: bool,
    as_json: bool,
) -> int:
    """Print the findings for *text*, the configuration at *path*; return the exit status.

    It is compared with the one at *against* and with what a daemon has answered, *in_force*.
    """
    findings = _findings(text, against, in_force)
    print(_as_json(findings) if as_json else _as_text(path, findings))
    return _status(findings, is_strict)


def _findings(
    text: str, against: Path | None, in_force: dict[str, Any] | None
) -> Sequence[Finding]:
    config = decode_config(text.encode())
    if isinstance(config, ConfigProblems):
        return _form_errors(config)
    findings = check_config(config, in_force["servers"] if in_force is not None else None)
    if against is not None:
        old = decode_config(read_text(against, Code.DOCUMENT_INVALID).encode())
        if isinstance(old, ConfigProblems):
            return [*findings, *_form_errors(old, f"{against}: ")]
        findings += compare_configs(old, config)
    if in_force is not None and in_force["configuration"] is not None:
        findings += compare_configs(load_config(in_force["configuration"]), config)
    return findings


def _form_errors(problems: ConfigProblems, prefix: str = "") -> list[Finding]:
    return [Finding(Severity.ERROR, prefix + entry, why) for entry, why in problems.problems]


def _status(findings: Sequence[Finding], is_strict: bool) -> int:
    worst = max((finding.severity for finding in findings), default=Severity.CHANGE)
    if worst is Severity.ERROR:
        return INVALID
    return WARNED if is_strict and worst is Severity.WARNING else VALID


def _as_json(findings: Sequence[Finding]) -> str:
    records = [
        {"severity": f.severity.name.lower(), "entry": f.entry, "reason": f.reason}
        for f in findings
    ]
    return json.dumps({"findings": records}, indent=2, ensure_ascii=False)


def _as_text(path: Path, findings: Sequence[Finding]) -> str:
    if not findings:
        return f"{path}: valid"
    return "\n".join(f"{path}: {finding}" for finding in findings)
