from __future__ import annotations

import gevent
import pytest
from gevent import socket

from standins.listener import Listener


def test_stop_resets_a_connection_whose_handler_has_not_started():
    listener = Listener(lambda environ, start_response: [])
    listener.open()
    accept = listener._server.do_handle

    def accept_and_stop(*args):
        # Callbacks run in order, so the listener stops before the handler starts.
        gevent.get_hub().loop.run_callback(listener.stop)
        accept(*args)

    listener._server.do_handle = accept_and_stop
    host, _, port = listener.address.rpartition(":")
    with (
        socket.create_connection((host, int(port)), 5.0) as sock,
        gevent.Timeout(5.0),
        pytest.raises(ConnectionResetError),
    ):
        sock.recv(1)
    listener.close()
