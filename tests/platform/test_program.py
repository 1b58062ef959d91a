from __future__ import annotations

import subprocess
import sys

SLOW_TO_LOAD = (
    "bottle",
    "hdrh",
    "marigoldwalk.application",
    "marigoldwalk.core.engine",
    "prometheus_client",
    "urllib3",
    "yaml",
)
"""Slow modules that the gateway does not need to serve callers."""


def test_start_does_not_load_modules_that_callers_do_not_need():
    code = "import sys, marigoldwalk.platform.program; print(*sys.modules)"
    printed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
    assert set(printed.decode().split()).isdisjoint(SLOW_TO_LOAD)


def test_libraries_loaded_before_the_listener_is_opened_are_the_large_ones():
    code = "import sys, marigoldwalk.platform.libraries; print(*sys.modules)"
    printed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
    modules = set(printed.decode().split())
    assert modules.issuperset(("gevent.pywsgi", "pydantic.main", "thrift.protocol.TBinaryProtocol"))
    assert not any(name.startswith("marigoldwalk.gateway") for name in modules)
