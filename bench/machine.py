"""Description of the machine and of the commit that a run measures."""

from __future__ import annotations

import os
import platform
import subprocess
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parent.parent


def describe_machine() -> str:
    """Return the CPU model, cores, memory and Python version as one line."""
    memory_gb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e9
    return (
        f"{_cpu_model()}, {os.cpu_count()} cores, {memory_gb:.0f} GB, "
        f"Python {platform.python_version()}"
    )


def load_average() -> float:
    """Return the one-minute load average."""
    return os.getloadavg()[0]


def current_commit() -> str:
    """Return the checked-out commit, and whether tracked files have uncommitted changes."""
    short = _git("rev-parse", "--short=12", "HEAD")
    changed = _git("status", "--porcelain", "--untracked-files=no")
    return f"{short} with uncommitted changes" if changed else short


def _git(*arguments: str) -> str:
    try:
        reply = subprocess.run(
            ["git", *arguments], cwd=REPOSITORY, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return reply.stdout.strip()


def _cpu_model() -> str:
    try:
        lines = Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines()
    except OSError:
        return platform.machine()
    names = (line.partition(":")[2].strip() for line in lines if line.startswith("model name"))
    return next(names, platform.machine())
