from __future__ import annotations

import pytest
from gevent import socket

from marigoldwalk.config.view import Address

from .scripted import Inbox


@pytest.fixture
def inbox():
    return Inbox()


@pytest.fixture
def closed_address():
    """An address without a listener, reserved so that no other process can bind it."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield Address(*sock.getsockname())
