"""An outgoing connection to another daemon."""

from __future__ import annotations

import logging
import random
import socket
from collections import deque
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event as Signal

from ..util.disconnects import DisconnectWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.view import Address

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 2.0
"""Time limit for writing one batch of frames to the connection."""
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
IDLE_TIMEOUT_S = 60.0
"""Time without a message after which a link closes."""
MAX_QUEUE_FRAMES = 8192
MAX_QUEUE_BYTES = 8 * 1024 * 1024


class PeerLink:
    """Writes frames to another daemon in order.

    :meth:`send` never waits: it adds frames to a bounded queue, and a greenlet writes all queued
    frames in one call. If the connection is refused, breaks or does not drain the queue, the
    link drops the queued frames and calls ``on_disconnect`` once with the daemon's name and whether
    the connection was refused. It connects again after a backoff.
    """

    def __init__(
        self, name: str, address: Address, on_disconnect: Callable[[str, bool], None]
    ) -> None:
        self.name = name
        self.address = address
        self._on_disconnect = on_disconnect
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = Signal()
        self._sock: socket.socket | None = None
        self._watch: DisconnectWatch | None = None
        self._is_broken = False
        self._was_refused = False
        self._backoff_s = MIN_BACKOFF_S
        self._writer = gevent.spawn(self._run)

    @property
    def is_closed(self) -> bool:
        """Whether the link was closed, by :meth:`close` or because it was idle for too long."""
        return self._writer.dead

    @property
    def is_empty(self) -> bool:
        """Whether the queue is empty."""
        return not self._frames

    def send(self, frame: bytes) -> None:
        """Queue *frame*, or drop the connection if the queue is full."""
        if self._is_full(frame):
            logger.warning("the send queue of daemon %s is full", self.name)
            self._mark_broken()
            return
        self._frames.append(frame)
        self._queued_bytes += len(frame)
        self._wake.set()

    def close(self) -> None:
        """Close the link without calling ``on_disconnect``."""
        self._writer.kill(block=False)
        self._disconnect()

    def _is_full(self, frame: bytes) -> bool:
        return (
            len(self._frames) >= MAX_QUEUE_FRAMES
            or self._queued_bytes + len(frame) > MAX_QUEUE_BYTES
        )

    def _run(self) -> None:
        while self._wake.wait(IDLE_TIMEOUT_S):
            self._wake.clear()
            if self._is_broken or not self._try_to_write():
                self._handle_disconnect()
        self._disconnect()

    def _try_to_write(self) -> bool:
        try:
            if self._sock is None and self._frames:
                self._connect()
            while self._frames and not self._is_broken:
                self._write_batch()
        except (OSError, gevent.Timeout) as exc:
            self._was_refused = isinstance(exc, ConnectionRefusedError)
            logger.debug("the connection to daemon %s failed: %r", self.name, exc)
            return False
        return not self._is_broken

    def _connect(self) -> None:
        address = (self.address.host, self.address.port)
        self._sock = gevent_socket.create_connection(address, CONNECT_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.settimeout(None)
        self._watch = DisconnectWatch(self._sock, self._mark_broken)

    def _write_batch(self) -> None:
        batch = b"".join(self._frames)
        self._frames.clear()
        self._queued_bytes = 0
        with gevent.Timeout(WRITE_TIMEOUT_S):
            self._sock.sendall(batch)
        self._backoff_s = MIN_BACKOFF_S

    def _mark_broken(self) -> None:
        """Make the writer greenlet drop the connection."""
        self._is_broken = True
        self._wake.set()

    def _handle_disconnect(self) -> None:
        self._disconnect()
        self._frames.clear()
        self._queued_bytes = 0
        self._is_broken = False
        refused, self._was_refused = self._was_refused, False
        self._on_disconnect(self.name, refused)
        gevent.sleep(self._backoff_s * random.uniform(0.5, 1.0))
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _disconnect(self) -> None:
        if self._watch is not None:
            self._watch.close()
            self._watch = None
        if self._sock is not None:
            self._sock.close()
            self._sock = None
