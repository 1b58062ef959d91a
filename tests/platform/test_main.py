from __future__ import annotations

import runpy
import signal
import socket
import sys
from types import SimpleNamespace

import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.util.listening import adopt


@pytest.fixture
def default_reload_signal():
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


def test_reload_signal_during_start_does_not_end_the_process(default_reload_signal, monkeypatch):
    handlers = []
    program = SimpleNamespace(main=lambda *_: handlers.append(signal.getsignal(signal.SIGHUP)) or 0)
    monkeypatch.setitem(sys.modules, "marigoldwalk.platform.program", program)
    with pytest.raises(SystemExit) as exit_info:
        runpy.run_module("marigoldwalk.platform", run_name="__main__")
    assert exit_info.value.code == 0
    assert handlers == [signal.SIG_IGN]


def test_connection_waits_while_the_modules_of_the_program_are_loaded(
    default_reload_signal, monkeypatch, tmp_path
):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    settings = tmp_path / "settings.yaml"
    settings.write_text(f'name: g-1\ncaller_address: "127.0.0.1:{port}"\n')
    monkeypatch.setenv("MARIGOLDWALK_BOOT", str(settings))
    accepted = []

    def main(path, listener):
        with (
            socket.create_connection(("127.0.0.1", port), 1.0),
            adopt(listener, Address("127.0.0.1", port)) as adopted,
        ):
            accepted.append(adopted.accept())
        return 0

    monkeypatch.setitem(sys.modules, "marigoldwalk.platform.program", SimpleNamespace(main=main))
    with pytest.raises(SystemExit):
        runpy.run_module("marigoldwalk.platform", run_name="__main__")
    assert len(accepted) == 1
