"""Transport of messages between daemons over TCP."""

from __future__ import annotations

import itertools
import logging
import socket
from typing import TYPE_CHECKING

import gevent
from gevent.server import StreamServer

from ..core.events import PeerDisconnected, PeerReceived
from ..core.peer_messages import BlockRequest
from ..wire.codec import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    Envelope,
    UnknownMessageError,
    WireError,
    decode,
    encode,
)
from .peer_link import PeerLink

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable
    from typing import BinaryIO

    from ..core.actions import SendPeer
    from ..core.events import Event
    from ..core.peer_messages import PeerMessage

logger = logging.getLogger(__name__)

READ_BUFFER_BYTES = 8192
FRAMES_BETWEEN_YIELDS = 64
FLUSH_TIMEOUT_S = 0.5
"""Time limit for sending the last messages before a stop."""
FLUSH_POLL_INTERVAL_S = 0.005


class Peers:
    """Sends messages to other daemons and receives theirs.

    Each daemon writes on the connections that it opened and reads on those that it accepted. Bytes
    that are not a valid envelope are counted and close their connection. Messages that only newer
    daemons know are ignored.
    """

    def __init__(
        self,
        name: str,
        listener: socket.socket,
        post: Callable[[Event], None],
        counters: Counter[str],
    ) -> None:
        self._name = name
        self._post = post
        self._counters = counters
        self._links: dict[str, PeerLink] = {}
        self._last_message: PeerMessage | None = None
        self._last_frame = b""
        self._server = StreamServer(listener, self._handle_connection)

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Send the queued messages, then close all connections."""
        with gevent.Timeout(FLUSH_TIMEOUT_S, False):
            while not all(link.is_empty for link in self._links.values()):
                gevent.sleep(FLUSH_POLL_INTERVAL_S)
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._server.stop(timeout=0)

    def send(self, action: SendPeer) -> None:
        """Queue a message, which may be lost."""
        try:
            frame = self._encode_frame(action.message)
        except WireError:
            self._counters["peer.unwritable"] += 1
            raise
        link = self._links.get(action.peer)
        if link is None or link.is_closed or link.address != action.address:
            link = self._replace_link(link, action)
        link.send(frame)

    def _encode_frame(self, message: PeerMessage) -> bytes:
        """Return the frame of *message*; one sent to several daemons in a row is encoded once."""
        if message is not self._last_message:
            self._last_frame = encode(Envelope(self._name, message))
            self._last_message = message
        return self._last_frame

    def _replace_link(self, old: PeerLink | None, action: SendPeer) -> PeerLink:
        if old is not None:
            old.close()
        link = PeerLink(action.peer, action.address, self._report_disconnect)
        self._links[action.peer] = link
        return link

    def _report_disconnect(self, peer: str, refused: bool) -> None:
        self._counters["peer.disconnected"] += 1
        self._post(PeerDisconnected(peer, refused))

    def _handle_connection(self, sock: socket.socket, address: tuple[str, int]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with sock.makefile("rb", READ_BUFFER_BYTES) as stream:
                self._read_frames(stream)
        except WireError as exc:
            self._counters["peer.malformed"] += 1
            logger.warning(
                "closed a connection from %s:%d that sent an invalid frame",
                *address,
                extra={"fields": {"why": str(exc)}},
            )
        except OSError as exc:
            logger.debug("a connection from %s:%d failed: %r", *address, exc)

    def _read_frames(self, stream: BinaryIO) -> None:
        for count in itertools.count(1):
            header = stream.read(LENGTH_PREFIX.size)
            body = self._read_frame(stream, header)
            if body is None:
                return
            self._handle_frame(body)
            if count % FRAMES_BETWEEN_YIELDS == 0:
                # Reads from a full buffer do not yield, so other greenlets would not run.
                gevent.sleep(0)

    def _handle_frame(self, body: bytes) -> None:
        try:
            envelope = decode(body)
        except UnknownMessageError as exc:
            self._counters["peer.unknown_message"] += 1
            logger.debug("ignored a message: %s", exc)
            return
        if isinstance(envelope.message, BlockRequest) and logger.isEnabledFor(logging.DEBUG):
            _log_block_request(envelope.sender, envelope.message)
        self._post(PeerReceived(envelope.sender, envelope.message))

    def _read_frame(self, stream: BinaryIO, header: bytes) -> bytes | None:
        """Return the body of the next frame, or ``None`` if the stream ends before its end."""
        if len(header) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise WireError(f"a frame of {length} bytes is too large")
        body = stream.read(length)
        return body if len(body) == length else None


def _log_block_request(sender: str, request: BlockRequest) -> None:
    """Log a block request with the fields by which the sender's log lines identify it."""
    fields = {
        "sender": sender,
        "task": request.task,
        "block": request.block,
        "fingerprint": request.fingerprint,
        "request_id": request.request_id,
    }
    logger.debug("block request received", extra={"fields": fields})
