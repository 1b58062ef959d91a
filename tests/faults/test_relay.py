from __future__ import annotations

import socket
import threading

import pytest

from faults.relay import Relays
from marigoldwalk.core.peer_messages import BlockCancel
from marigoldwalk.wire.codec import Envelope, encode

TIMEOUT_S = 10.0


@pytest.fixture
def echo():
    """The address of an echo server."""
    server = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                conn = server.accept()[0]
            except OSError:
                return
            threading.Thread(target=send_back, args=(conn,), daemon=True).start()

    def send_back(conn: socket.socket) -> None:
        with conn:
            while data := conn.recv(1024):
                conn.sendall(data)

    threading.Thread(target=serve, daemon=True).start()
    yield "{}:{}".format(*server.getsockname())
    server.shutdown(socket.SHUT_RDWR)
    server.close()


@pytest.fixture
def relays():
    running = Relays()
    yield running
    running.close()


def connect(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), TIMEOUT_S)


def exchange(conn: socket.socket, data: bytes) -> bytes:
    conn.sendall(data)
    return receive(conn, len(data))


def receive(conn: socket.socket, size: int) -> bytes:
    received = b""
    while len(received) < size:
        received += conn.recv(size - len(received))
    return received


def test_relay_forwards_both_ways_and_delivers_blocked_data_after_heal(relays, echo):
    relay = relays.open(echo)
    with connect(relay.address) as conn:
        assert exchange(conn, b"before") == b"before"
        relays.cut(relay)
        conn.sendall(b"during")
        relays.heal(relay)
        assert receive(conn, 6) == b"during"


def test_cut_blocks_only_the_given_daemon(relays, echo):
    relay = relays.open(echo, by_sender=True)
    relays.cut(relay, "m-2")
    frames = {name: encode(Envelope(name, BlockCancel(1))) for name in ("m-1", "m-2")}
    with connect(relay.address) as cut, connect(relay.address) as other:
        cut.sendall(frames["m-2"])
        assert exchange(other, frames["m-1"]) == frames["m-1"]
        relays.heal(relay)
        assert receive(cut, len(frames["m-2"])) == frames["m-2"]


def test_connection_closes_if_the_target_is_unreachable(relays):
    with socket.create_server(("127.0.0.1", 0)) as closed:
        target = "{}:{}".format(*closed.getsockname())
    relay = relays.open(target)
    with connect(relay.address) as conn:
        try:
            assert conn.recv(1) == b""
        except ConnectionError:
            return
