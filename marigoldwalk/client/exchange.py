"""One HTTP request to a daemon, and whether a failed request may have been sent."""

from __future__ import annotations

import socket
import threading
from dataclasses import dataclass
from http.client import HTTPException
from typing import TYPE_CHECKING

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from ..util.http_heads import WholeHeadResponse

if TYPE_CHECKING:
    from ..config.view import Address

_HEADERS = {"Content-Type": "application/json", "Accept": "application/json"}


class _Connection(HTTPConnection):
    response_class = WholeHeadResponse


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """A falsy result: no usable reply arrived.

    ``sent`` is false only if it is certain that no byte was sent.
    """

    sent: bool
    cancelled: bool
    reason: str

    def __bool__(self) -> bool:
        return False


class Exchange:
    """One request to one daemon over its own connection; another thread may cancel it.

    A new connection for each request costs a round trip. In return, a failure before the request
    is written can always be distinguished from a later one. An exchange never sends its request
    twice.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._conn = _Connection(address.host, address.port)
        self._lock = threading.Lock()
        self._cancelled = False
        self._sent = False

    def run(self, data: bytes, timeout_s: float) -> bytes | ExchangeFailure:
        """Send *data* in a POST request and return the body of the reply, whatever its status.

        *timeout_s* limits connecting and each wait for bytes.
        """
        self._conn.timeout = timeout_s
        try:
            self._conn.connect()
            if not self._mark_sent():
                return self._failure("cancelled before it was sent")
            self._conn.request("POST", "/query", body=data, headers=_HEADERS)
            return self._conn.getresponse().data
        except (HTTPError, HTTPException, OSError) as exc:
            return self._failure(type(exc).__name__)
        finally:
            self._conn.close()

    def cancel(self) -> None:
        """Shut the connection down; the daemon then cancels the query."""
        with self._lock:
            self._cancelled = True
            sock = self._conn.sock
        if sock is not None:
            _shut_down(sock)

    def _mark_sent(self) -> bool:
        with self._lock:
            self._sent = not self._cancelled
            return self._sent

    def _failure(self, cause: str) -> ExchangeFailure:
        if self._cancelled:
            return ExchangeFailure(self._sent, True, "The caller cancelled the query.")
        if self._sent:
            return ExchangeFailure(
                True, False, f"{self._address} took the query but sent no reply ({cause})."
            )
        return ExchangeFailure(False, False, f"{self._address} cannot be reached ({cause}).")


def _shut_down(sock: socket.socket) -> None:
    # Closing the socket would not wake a thread that waits for the reply.
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
