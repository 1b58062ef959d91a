from __future__ import annotations

import subprocess
import sys

SLOW_TO_LOAD = ("marigoldwalk.core.engine", "marigoldwalk.application", "prometheus_client")
"""Modules that the gateway does not need to serve callers."""


def test_a_start_loads_only_what_callers_need():
    code = "import sys, marigoldwalk.platform.program; print(*sys.modules)"
    printed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
    assert set(printed.decode().split()).isdisjoint(SLOW_TO_LOAD)
