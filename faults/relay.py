"""TCP relays that can block traffic, to simulate network failures between processes."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING

from marigoldwalk.wire.codec import LENGTH_PREFIX, WireError, decode

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

LOOPBACK = "127.0.0.1"
READ_BYTES = 65_536
START_TIMEOUT_S = 10.0


class Relays:
    """All relays of a fleet, which run on an event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="relays", daemon=True)
        self._thread.start()

    def open(self, target: str, *, by_sender: bool = False) -> Relay:
        """Open a relay to *target*.

        With *by_sender* the relay identifies the daemon behind each connection, so that it can cut
        single senders.
        """
        relay = Relay(target, _identify_sender if by_sender else _identify_none)
        self.run(relay.listen())
        return relay

    def run(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run *coroutine* on the event loop and wait for it."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(START_TIMEOUT_S)

    def cut(self, relay: Relay, *senders: str) -> None:
        """Hold back all data of *senders*, or of all senders, without a reset."""
        self._loop.call_soon_threadsafe(relay.cut, senders or (ALL_SENDERS,))

    def heal(self, relay: Relay) -> None:
        """Forward data again, beginning with the data held back."""
        self._loop.call_soon_threadsafe(relay.heal)

    def close(self) -> None:
        """Stop the event loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


ALL_SENDERS = ""
"""Stands for all senders when cut, and for the sender if the relay does not identify it."""


async def _identify_none(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    return ALL_SENDERS, b""


async def _identify_sender(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the sender of a connection's first frame, and that frame."""
    header = await reader.readexactly(LENGTH_PREFIX.size)
    body = await reader.readexactly(LENGTH_PREFIX.unpack(header)[0])
    return decode(body).sender, header + body


class Relay:
    """One listening port whose connections are forwarded to *target*.

    While a sender is cut, its connections stay open but no data passes in either direction, as
    when a network drops packets.
    """

    def __init__(
        self,
        target: str,
        identify: Callable[[asyncio.StreamReader], Coroutine[None, None, tuple[str, bytes]]],
    ) -> None:
        self.address = ""
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self._identify = identify
        self._cut_senders: frozenset[str] = frozenset()
        self._healed = asyncio.Event()
        self._healed.set()

    async def listen(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def cut(self, senders: tuple[str, ...]) -> None:
        """Hold back the data of *senders*."""
        self._cut_senders = frozenset(senders)
        self._healed.clear()

    def heal(self) -> None:
        """Forward all data again."""
        self._cut_senders = frozenset()
        self._healed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            sender, first = await self._identify(reader)
            await self._wait_until_healed(sender)
            target_reader, target_writer = await asyncio.open_connection(self._host, self._port)
        except (OSError, EOFError, WireError):
            writer.transport.abort()
            return
        target_writer.write(first)
        await asyncio.gather(
            self._forward(sender, reader, target_writer),
            self._forward(sender, target_reader, writer),
        )

    async def _forward(
        self, sender: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._wait_until_healed(sender)
                writer.write(data)
                await writer.drain()
            await self._wait_until_healed(sender)
        except OSError:
            writer.transport.abort()
        writer.close()

    async def _wait_until_healed(self, sender: str) -> None:
        """Wait while *sender* is cut, or all senders are."""
        while self._cut_senders and (
            sender in self._cut_senders or ALL_SENDERS in self._cut_senders
        ):
            await self._healed.wait()
