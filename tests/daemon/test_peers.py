from __future__ import annotations

import contextlib
from collections import Counter

import pytest
from gevent import socket

from marigoldwalk.config.view import Address
from marigoldwalk.core.actions import SendPeer
from marigoldwalk.core.events import PeerDisconnected, PeerReceived
from marigoldwalk.core.peer_messages import BlockCancel, DocumentPush
from marigoldwalk.daemon import peer_link
from marigoldwalk.daemon.peers import Peers
from marigoldwalk.wire.codec import LENGTH_PREFIX, Envelope, encode

from .scripted import TEST_TIMEOUT_S


def listen():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)
    return listener


def address_of(listener):
    return Address(*listener.getsockname())


class Daemon:
    def __init__(self, name, inbox):
        self.counters = Counter()
        listener = listen()
        self.address = address_of(listener)
        self.peers = Peers(name, listener, inbox.post, self.counters)
        self.peers.start()


@pytest.fixture
def daemon(inbox):
    daemon = Daemon("m-1", inbox)
    yield daemon
    daemon.peers.stop()


def test_messages_arrive_in_order_with_their_sender(daemon, inbox):
    messages = [BlockCancel(task) for task in range(500)]
    for message in messages:
        daemon.peers.send(SendPeer("m-1", daemon.address, message))
    assert [inbox.next() for _ in messages] == [PeerReceived("m-1", m) for m in messages]


def test_a_large_document_arrives_complete(daemon, inbox):
    message = DocumentPush(3, "é" * 1_000_000)
    daemon.peers.send(SendPeer("m-1", daemon.address, message))
    assert inbox.next() == PeerReceived("m-1", message)


def test_a_refused_connection_is_reported(daemon, inbox, closed_address):
    daemon.peers.send(SendPeer("m-2", closed_address, BlockCancel(1)))
    assert inbox.next() == PeerDisconnected("m-2", refused=True)
    daemon.peers.send(SendPeer("m-2", closed_address, BlockCancel(2)))
    assert inbox.next() == PeerDisconnected("m-2", refused=True)


def test_a_closed_connection_is_reported_and_reopened_for_the_next_message(daemon, inbox):
    listener = listen()
    link = SendPeer("m-2", address_of(listener), BlockCancel(1))
    daemon.peers.send(link)
    sock, _ = listener.accept()
    sock.recv(1000)
    sock.close()
    assert inbox.next() == PeerDisconnected("m-2")
    daemon.peers.send(link)
    sock, _ = listener.accept()
    sock.settimeout(TEST_TIMEOUT_S)
    assert sock.recv(1000) == encode(Envelope("m-1", BlockCancel(1)))
    sock.close()
    listener.close()


def test_a_full_send_queue_is_reported_as_a_disconnect(daemon, inbox, monkeypatch):
    monkeypatch.setattr(peer_link, "MAX_QUEUE_BYTES", 100)
    listener = listen()
    for task in range(10):
        daemon.peers.send(SendPeer("m-2", address_of(listener), BlockCancel(task)))
    assert inbox.next() == PeerDisconnected("m-2")
    listener.close()


@pytest.mark.parametrize(
    "garbage",
    [b"GET / HTTP/1.1\r\n\r\n", LENGTH_PREFIX.pack(5) + b"xxxxx", LENGTH_PREFIX.pack(2**32 - 1)],
)
def test_invalid_frames_close_only_their_own_connection(daemon, inbox, garbage):
    with socket.create_connection((daemon.address.host, daemon.address.port)) as sock:
        sock.settimeout(TEST_TIMEOUT_S)
        sock.sendall(garbage)
        with contextlib.suppress(ConnectionResetError):
            assert sock.recv(1) == b""
    assert daemon.counters["peer.malformed"] == 1
    daemon.peers.send(SendPeer("m-1", daemon.address, BlockCancel(1)))
    assert inbox.next() == PeerReceived("m-1", BlockCancel(1))
