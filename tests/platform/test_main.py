from __future__ import annotations

import runpy
import signal
import sys
from types import SimpleNamespace

import pytest


@pytest.fixture
def default_reload_signal():
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


def test_reload_signal_during_start_does_not_end_the_process(default_reload_signal, monkeypatch):
    handlers = []
    program = SimpleNamespace(main=lambda: handlers.append(signal.getsignal(signal.SIGHUP)) or 0)
    monkeypatch.setitem(sys.modules, "marigoldwalk.platform.program", program)
    with pytest.raises(SystemExit) as exit_info:
        runpy.run_module("marigoldwalk.platform", run_name="__main__")
    assert exit_info.value.code == 0
    assert handlers == [signal.SIG_IGN]
