"""Cost of the daemon's socket I/O, which the measurements of the core leave out."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from gevent import socket as gevent_socket
from gevent.event import Event as Signal

from marigoldwalk.config.view import Address
from marigoldwalk.core.actions import SendPeer, SendSubrequest
from marigoldwalk.core.peer_messages import Heartbeat
from marigoldwalk.daemon.backends import Backends
from marigoldwalk.daemon.peers import Peers
from marigoldwalk.util.clock import Clock
from marigoldwalk.wire.codec import Envelope, encode

from .canned_server import CannedServer
from .meter import lowest_of_repeats
from .registry import slopes
from .simulated_fleet import HIT_BODY
from .tables import Table

if TYPE_CHECKING:
    from marigoldwalk.core.events import Event

EXCHANGES = 400
IN_FLIGHT = 20
FRAMES = 1600
NS_PER_US = 1e3
TIMEOUT_S = 20.0
BYTES_PER_MB = 1e6


class EventCollector:
    """Collects the events that the I/O layer posts, and waits for a given number of them."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self._wanted = 0
        self._reached = Signal()

    def post(self, event: Event) -> None:
        """Add an event."""
        self.events.append(event)
        if len(self.events) >= self._wanted:
            self._reached.set()

    def expect(self, count: int) -> None:
        """Set the number of further events that :meth:`wait` waits for."""
        self._wanted = len(self.events) + count
        self._reached.clear()

    def wait(self) -> None:
        """Block until the expected events have arrived, without using CPU time."""
        if not self._reached.wait(TIMEOUT_S):
            raise TimeoutError(f"only {len(self.events)} of {self._wanted} events arrived in time")


@slopes.register("exchange")
def vary_hits() -> Table:
    """CPU time of the I/O layer per subrequest over HTTP, with 1 to 100 hits per reply."""
    table = Table(("hits", "CPU us/subrequest"))
    for hits in (1, 10, 50, 100):
        server = CannedServer(hits)
        table.add(hits, *lowest_of_repeats(partial(_exchange_cost, server.address)))
        server.close()
    return table


def _exchange_cost(address: Address) -> tuple[float, ...]:
    clock = Clock()
    replies = EventCollector()
    backends = Backends("m-1:1", clock, replies.post, lambda server: IN_FLIGHT)
    _send_batch(backends, address, clock, replies)
    started = time.thread_time_ns()
    for _ in range(EXCHANGES // IN_FLIGHT):
        _send_batch(backends, address, clock, replies)
    spent_us = (time.thread_time_ns() - started) / NS_PER_US
    backends.stop()
    failed = [event for event in replies.events if type(event).__name__ != "ServerReply"]
    if failed:
        raise RuntimeError(f"{len(failed)} subrequests failed, the first with {failed[0]}")
    return (spent_us / EXCHANGES,)


def _send_batch(
    backends: Backends, address: Address, clock: Clock, replies: EventCollector
) -> None:
    replies.expect(IN_FLIGHT)
    for number in range(IN_FLIGHT):
        backends.send(
            SendSubrequest(
                attempt=len(replies.events) + number,
                server="canned",
                address=address,
                group="session",
                index="precedents",
                snapshot=1,
                shards=(0,),
                body=HIT_BODY,
                limit=10,
                request_id="",
                deadline=clock.now() + TIMEOUT_S,
            )
        )
    replies.wait()


@slopes.register("frames")
def vary_frames() -> Table:
    """CPU time to write and read 1 to 64 heartbeats that are sent together over TCP."""
    table = Table(("frames at once", "CPU us, both ends"))
    for at_once in (1, 4, 16, 64):
        table.add(at_once, *lowest_of_repeats(partial(_frame_cost, at_once)))
    return table


def _frame_cost(at_once: int) -> tuple[float, ...]:
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    heartbeats = EventCollector()
    receiver = Peers("m-2", listener, heartbeats.post, Counter())
    receiver.start()
    sender_listener = gevent_socket.socket()
    sender_listener.bind(("127.0.0.1", 0))
    sender_listener.listen()
    sender = Peers("m-1", sender_listener, heartbeats.post, Counter())
    address = Address(*listener.getsockname())
    _send_frames(sender, address, heartbeats, at_once)
    started = time.thread_time_ns()
    for _ in range(FRAMES // at_once):
        _send_frames(sender, address, heartbeats, at_once)
    spent_us = (time.thread_time_ns() - started) / NS_PER_US
    sender.stop()
    receiver.stop()
    return (spent_us * at_once / FRAMES,)


def _send_frames(sender: Peers, address: Address, heartbeats: EventCollector, at_once: int) -> None:
    heartbeats.expect(at_once)
    for number in range(at_once):
        heartbeat = Heartbeat(number + 1, 1.0, 7, "0" * 32, 3, 0.5, leaving=False, reply_to=number)
        sender.send(SendPeer("m-2", address, heartbeat))
    heartbeats.wait()


@slopes.register("links")
def vary_links() -> Table:
    """Memory of one daemon's connections from 10 to 1,000 peers after one heartbeat from each."""
    table = Table(("links", "memory MB"))
    for links in (10, 100, 400, 1000):
        table.add(links, _links_bytes(links) / BYTES_PER_MB)
    return table


def _links_bytes(links: int) -> float:
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(links)
    heartbeats = EventCollector()
    receiver = Peers("m-2", listener, heartbeats.post, Counter())
    receiver.start()
    heartbeat = Heartbeat(1, 1.0, 7, "0" * 32, 3, 0.5, leaving=False, reply_to=0)
    frame = encode(Envelope("m-1", heartbeat))
    heartbeats.expect(links)
    gc.collect()
    tracemalloc.start()
    peers = [gevent_socket.create_connection(listener.getsockname()) for _ in range(links)]
    for peer in peers:
        peer.sendall(frame)
    heartbeats.wait()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for peer in peers:
        peer.close()
    receiver.stop()
    return used
