"""Gossip between daemons over UDP."""

from __future__ import annotations

import itertools
import logging
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from ..config.view import Address
from ..routing.membership import MemberReport
from ..routing.suspects import Evidence
from ..wire.gen.gossip import ttypes

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Sequence

    from ..routing.membership import Membership
    from ..routing.suspects import Suspects

logger = logging.getLogger(__name__)

PERIOD_S = 1.0
"""Time between two rounds; a member is suspected after five."""
FIRST_PERIOD_S = 0.25
"""Time between the first rounds of a daemon's life, and while it knows no other daemon."""
FIRST_ROUNDS = 20
"""Rounds after which daemons that started together know each other, at 75 members."""
MAX_DATAGRAM_BYTES = 65_535
MAX_NAMES_LOGGED = 12


class GossipLink:
    """Tell and hear members; the decisions are those of :class:`Membership`."""

    def __init__(
        self,
        membership: Membership,
        suspects: Suspects,
        listen_at: Address,
        now: Callable[[], float],
        counters: Counter[str],
        on_change: Callable[[], None],
    ) -> None:
        self._membership = membership
        self._suspects = suspects
        self._now = now
        self._counters = counters
        self._on_change = on_change
        self._sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((listen_at.host, listen_at.port))
        self._greenlets: list[gevent.Greenlet] = []
        self._known = 0

    @property
    def address(self) -> tuple[str, int]:
        """Where datagrams arrive."""
        return self._sock.getsockname()

    def start(self) -> None:
        """Begin to tell and to hear."""
        self._greenlets = [gevent.spawn(self._tell), gevent.spawn(self._hear)]

    def stop(self) -> None:
        """End both."""
        gevent.killall(self._greenlets, block=False)
        self._sock.close()

    def _tell(self) -> None:
        for number in itertools.count():
            now = self._now()
            targets = self._membership.next_round(now)
            for target in targets:
                is_remote = self._membership.is_remote(target)
                reports = self._membership.reports(now, is_remote)
                self._send(encode(reports, self._suspects.evidence(now)), target)
            self._note_count()
            is_settled = number >= FIRST_ROUNDS and self._membership.rows()
            gevent.sleep(PERIOD_S if is_settled else FIRST_PERIOD_S)

    def _send(self, datagram: bytes, target: Address) -> None:
        try:
            self._sock.sendto(datagram, (target.host, target.port))
        except OSError as exc:
            self._counters["gossip.unsent"] += 1
            logger.debug("gossip to %s was not sent: %r", target, exc)

    def _hear(self) -> None:
        while True:
            try:
                datagram, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # A refused datagram of our own shows up here; the next one may still arrive.
                self._counters["gossip.unreceived"] += 1
                logger.debug("gossip was not received: %r", exc)
                continue
            told = decode(datagram)
            if told is None:
                self._counters["gossip.malformed"] += 1
                continue
            now = self._now()
            self._suspects.merge(told.evidence, now)
            if self._membership.merge(told.reports, now):
                answer = encode(self._membership.reports(now), self._suspects.evidence(now))
                self._send(answer, told.reports[0].address)
            self._note_count()

    def _note_count(self) -> None:
        self._on_change()
        count = self._membership.possible_member_count()
        if count != self._known:
            self._known = count
            names = sorted(row.report.name for row in self._membership.rows())
            fields = {"count": count, "others": names[:MAX_NAMES_LOGGED]}
            logger.info("members changed", extra={"fields": fields})


@dataclass(frozen=True, slots=True)
class Told:
    """What one datagram tells."""

    reports: tuple[MemberReport, ...]
    """Members, the sender first."""
    evidence: tuple[Evidence, ...]


def encode(reports: Sequence[MemberReport], evidence: Sequence[Evidence]) -> bytes:
    """Return a datagram with *reports*, the sender's own first, and *evidence* of crashes."""
    members = [
        ttypes.Member(
            r.name,
            r.address.host,
            r.address.port,
            r.incarnation,
            r.heartbeat,
            r.domain,
            r.cores,
            r.is_leaving,
        )
        for r in reports
    ]
    crashes = [ttypes.Evidence(e.fingerprint, list(e.servers)) for e in evidence]
    buffer = TMemoryBuffer()
    ttypes.Gossip(members, crashes).write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(datagram: bytes) -> Told | None:
    """Return what *datagram* tells, or ``None`` if it is not valid."""
    gossip = ttypes.Gossip()
    try:
        gossip.read(TBinaryProtocolAccelerated(TMemoryBuffer(datagram)))
        gossip.validate()
        reports = [
            MemberReport(
                m.name,
                Address(m.host, m.port),
                m.incarnation,
                m.heartbeat,
                m.domain,
                m.cores,
                m.leaving,
            )
            for m in gossip.members
            if _is_complete(m)
        ]
        evidence = [
            Evidence(e.fingerprint, tuple(e.servers)) for e in gossip.evidence if _is_complete(e)
        ]
    except Exception as exc:  # noqa: BLE001 (thrift raises many kinds on malformed bytes)
        logger.debug("a datagram is not valid: %r", exc)
        return None
    return Told(tuple(reports), tuple(evidence))


def _is_complete(struct: ttypes.Member | ttypes.Evidence) -> bool:
    return all(getattr(struct, name) is not None for name in struct.__slots__)
