"""A network between zones: forwards datagrams and connections of daemons, and can cut a zone off.

Daemons of one zone reach each other directly. Those of other zones know a daemon by a port of this
process, so the addresses in gossip are translated, as by a NAT. Commands come on standard input:
``cut ZONE`` and ``heal``. While a zone is cut off, nothing passes between it and the others.

    python3 network.py '{"m-0": ["zone-a", "127.0.0.1:7001"], ...}'

The first line of the output is a JSON object: the address of each daemon as seen from each zone.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated  # noqa: E402
from thrift.transport.TTransport import TMemoryBuffer  # noqa: E402

from marigoldwalk.wire.gen.gossip import ttypes  # noqa: E402

HOST = "127.0.0.1"


class Network:
    def __init__(self, daemons: dict[str, list[str]]) -> None:
        self.zones = {name: zone for name, (zone, _) in daemons.items()}
        self.addresses = {}
        for name, (_, address) in daemons.items():
            host, port = address.split(":")
            self.addresses[name] = (host, int(port))
        self.names = {address: name for name, address in self.addresses.items()}
        self.cut_zone = ""
        self.healed = asyncio.Event()
        self.healed.set()
        self.seen_as: dict[tuple[str, str], tuple[str, int]] = {}
        """The address of a daemon, as seen from a zone."""
        self.transports: dict[tuple[str, str], asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for zone in set(self.zones.values()):
            for name in self.addresses:
                if self.zones[name] == zone:
                    self.seen_as[zone, name] = self.addresses[name]
                    continue
                datagrams, streams = bind_both()
                self.seen_as[zone, name] = datagrams.getsockname()
                transport, _ = await loop.create_datagram_endpoint(
                    lambda zone=zone, name=name: Port(self, zone, name), sock=datagrams
                )
                self.transports[zone, name] = transport
                await asyncio.start_server(
                    lambda r, w, zone=zone, name=name: self.connect(zone, name, r, w),
                    sock=streams,
                )

    def is_cut(self, zone: str, other: str) -> bool:
        return zone != other and self.cut_zone in (zone, other)

    def translate(self, data: bytes, zone: str) -> bytes:
        """Return a datagram with the addresses that daemons have as seen from *zone*."""
        gossip = ttypes.Gossip()
        gossip.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
        for member in gossip.members or ():
            member.host, member.port = self.seen_as[zone, member.name]
        buffer = TMemoryBuffer()
        gossip.write(TBinaryProtocolAccelerated(buffer))
        return buffer.getvalue()

    def forward(self, zone: str, target: str, data: bytes, source: tuple[str, int]) -> None:
        """Forward a datagram that a daemon of *zone* has sent to *target*."""
        sender = self.names.get(source)
        if sender is None or self.is_cut(zone, self.zones[target]):
            return
        transport = self.transports[self.zones[target], sender]
        transport.sendto(self.translate(data, self.zones[target]), self.addresses[target])

    async def connect(self, zone: str, target: str, reader, writer) -> None:
        try:
            await self.wait_for_path(zone, target)
            far_reader, far_writer = await asyncio.open_connection(*self.addresses[target])
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pipe(zone, target, reader, far_writer),
            self.pipe(zone, target, far_reader, writer),
        )

    async def pipe(self, zone: str, target: str, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                await self.wait_for_path(zone, target)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def wait_for_path(self, zone: str, target: str) -> None:
        while self.is_cut(zone, self.zones[target]):
            await self.healed.wait()


def bind_both() -> tuple[socket.socket, socket.socket]:
    """Return a datagram and a stream socket that are bound to the same free port."""
    while True:
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.bind((HOST, 0))
        streams = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            streams.bind(datagrams.getsockname())
        except OSError:
            datagrams.close()
            streams.close()
        else:
            return datagrams, streams


class Port(asyncio.DatagramProtocol):
    """The port by which a zone knows a daemon of another zone."""

    def __init__(self, network: Network, zone: str, name: str) -> None:
        self._network, self._zone, self._name = network, zone, name

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._network.forward(self._zone, self._name, data, addr)


async def main() -> None:
    network = Network(json.loads(sys.argv[1]))
    await network.start()
    seen_as: dict[str, dict[str, str]] = {}
    for (zone, name), (host, port) in network.seen_as.items():
        seen_as.setdefault(zone, {})[name] = f"{host}:{port}"
    print(json.dumps(seen_as), flush=True)
    commands = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := (await commands.readline()).decode().split():
        if line[0] == "cut":
            network.cut_zone = line[1]
            network.healed.clear()
        elif line[0] == "heal":
            network.cut_zone = ""
            network.healed.set()


asyncio.run(main())
