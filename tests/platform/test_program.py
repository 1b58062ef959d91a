from __future__ import annotations

import subprocess
import sys

SLOW_TO_LOAD = ("marigoldwalk.core.engine", "marigoldwalk.application", "prometheus_client")
"""Slow modules that the gateway does not need to serve callers."""


def test_start_does_not_load_modules_that_callers_do_not_need():
    code = "import sys, marigoldwalk.platform.program; print(*sys.modules)"
    printed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
    assert set(printed.decode().split()).isdisjoint(SLOW_TO_LOAD)
