from __future__ import annotations

import socket

import pytest

from marigoldwalk.config.view import Address
from marigoldwalk.platform.early_listener import open_caller_listener
from marigoldwalk.util.listening import adopt, bound_address


@pytest.fixture
def free_port():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return unused.getsockname()[1]


@pytest.mark.parametrize(
    "line",
    [
        'caller_address: "127.0.0.1:{}"',
        "caller_address: 127.0.0.1:{}",
        '  "caller_address": "127.0.0.1:{}",',
    ],
)
def test_address_is_found_in_yaml_and_in_json(tmp_path, free_port, line):
    path = tmp_path / "settings.yaml"
    path.write_text(f"name: g-1\n{line.format(free_port)}\n")
    with open_caller_listener(str(path)) as listener:
        assert listener.getsockname() == ("127.0.0.1", free_port)


@pytest.mark.parametrize(
    "text",
    [
        "name: g-1",
        "caller_address:",
        "caller_address: 127.0.0.1",
        "caller_address: 127.0.0.1:0",
        "caller_address: 127.0.0.1:99999",
        "caller_address: nowhere",
        "caller_address: 192.0.2.1:80",
    ],
)
def test_address_that_cannot_be_used_is_left_to_the_settings(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    assert open_caller_listener(str(path)) is None


def test_missing_settings_file_is_left_to_the_settings(tmp_path):
    assert open_caller_listener(str(tmp_path / "settings.yaml")) is None


def test_listener_of_another_address_than_that_of_the_settings_is_closed(free_port):
    early = socket.create_server(("127.0.0.1", 0))
    with adopt(early, Address("127.0.0.1", free_port)) as listener:
        assert bound_address(listener) == Address("127.0.0.1", free_port)
    assert early.fileno() == -1
