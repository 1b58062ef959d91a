"""Gossip transport between daemons over UDP."""

from __future__ import annotations

import itertools
import logging
import math
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from ..config.addresses import parse_address
from ..config.view import Address
from ..routing.membership import MemberReport
from ..routing.suspects import Crash, Evidence
from ..wire.gen.gossip import ttypes
from .quota_messages import QuotaMessage, decode_quota

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Sequence

    from ..routing.membership import Membership
    from ..routing.suspects import Suspects
    from .quota_exchange import QuotaExchange

logger = logging.getLogger(__name__)

ROUND_INTERVAL_S = 1.0
"""Interval between gossip rounds; a member is suspected after five."""
FAST_ROUND_INTERVAL_S = 0.25
"""Interval of the first rounds after a start, and while the daemon knows no other one."""
FAST_ROUNDS = 20
"""Rounds within which daemons that start together discover each other, at 75 members."""
NEWS_INTERVAL_S = 0.2
"""Interval between checks for urgent news, which bounds the rate of their datagrams."""
MAX_NEWS_REPORTS = 14
"""Maximum number of reports of members in a datagram of urgent news, which fits into one packet."""
MAX_DATAGRAM_BYTES = 65_535
MAX_NUMBER = 2**53
"""Largest incarnation and heartbeat; a daemon raises them, and they must still fit their fields."""
MAX_NAMES_LOGGED = 12


class GossipTransport:
    """Sends and receives gossip on behalf of :class:`Membership`."""

    def __init__(
        self,
        membership: Membership,
        suspects: Suspects,
        listen_address: Address,
        now: Callable[[], float],
        counters: Counter[str],
        on_change: Callable[[], None],
        quota_exchange: QuotaExchange | None = None,
    ) -> None:
        self._quota_exchange = quota_exchange
        self._membership = membership
        self._suspects = suspects
        self._now = now
        self._counters = counters
        self._on_change = on_change
        self._sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((listen_address.host, listen_address.port))
        self._greenlets: list[gevent.Greenlet] = []
        self._known_count = 0
        if quota_exchange is not None:
            quota_exchange.send = self._send

    @property
    def address(self) -> tuple[str, int]:
        """Local host and port of the socket."""
        return self._sock.getsockname()

    def start(self) -> None:
        """Start to send and receive gossip."""
        runs = (self._run_rounds, self._send_news, self._receive)
        self._greenlets = [gevent.spawn(run) for run in runs]

    def stop(self) -> None:
        """Stop all greenlets and close the socket."""
        gevent.killall(self._greenlets, block=False)
        self._sock.close()

    def _run_rounds(self) -> None:
        for round_number in itertools.count():
            now = self._now()
            targets = self._membership.next_round(now)
            for target in targets:
                is_remote = self._membership.is_remote(target)
                reports = self._membership.reports(now, is_remote)
                self._send(encode(reports, self._suspects.evidence(now)), target)
            self._report_members()
            is_converged = round_number >= FAST_ROUNDS and self._membership.rows()
            gevent.sleep(ROUND_INTERVAL_S if is_converged else FAST_ROUND_INTERVAL_S)

    def _send_news(self) -> None:
        """Send urgent news at once.

        Evidence of crashes must reach all daemons before the content comes again, and callers wait
        while their requests are handed to a daemon that reaches no server.
        """
        while True:
            gevent.sleep(NEWS_INTERVAL_S)
            has_evidence = self._suspects.take_news()
            reports = self._membership.take_news()[:MAX_NEWS_REPORTS]
            if not has_evidence and not reports:
                continue
            now = self._now()
            datagram = encode(reports or [self._membership.own], self._suspects.evidence(now))
            for target in self._membership.urgent_targets(now):
                self._counters["gossip.urgent"] += 1
                self._send(datagram, target)

    def _send(self, datagram: bytes, target: Address) -> None:
        try:
            self._sock.sendto(datagram, (target.host, target.port))
        except OSError as exc:
            self._counters["gossip.unsent"] += 1
            logger.debug("sending gossip to %s failed: %r", target, exc)

    def _receive(self) -> None:
        while True:
            try:
                datagram, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # The error may be due to a datagram of our own that was refused; keep receiving.
                self._counters["gossip.unreceived"] += 1
                logger.debug("receiving gossip failed: %r", exc)
                continue
            message = decode(datagram)
            if message is None:
                self._counters["gossip.malformed"] += 1
                continue
            try:
                self._handle(message, Address(*source))
            except Exception:
                # If this greenlet ended, the daemon would take all others for dead.
                logger.exception("unexpected error while handling gossip")
                self._counters["gossip.fault"] += 1

    def _handle(self, message: GossipMessage, source: Address) -> None:
        now = self._now()
        self._receive_quota(message, source, now)
        if message.quota is not None:
            return
        self._merge_evidence(message, now)
        if self._membership.merge(message.reports, now):
            answer = encode(self._membership.reports(now), self._suspects.evidence(now))
            self._send(answer, message.reports[0].address)
        self._report_members()

    def _receive_quota(self, message: GossipMessage, source: Address, now: float) -> None:
        if self._quota_exchange is None:
            return
        if message.quota is not None:
            self._quota_exchange.heard(message.quota.sender, now)
            self._quota_exchange.receive(message.quota, source)
        elif message.reports:
            self._quota_exchange.heard(message.reports[0].name, now)

    def _merge_evidence(self, message: GossipMessage, now: float) -> None:
        for fingerprint in self._suspects.merge(message.evidence, now):
            self._counters["suspect.received"] += 1
            fields = {
                "content": fingerprint,
                "crashes": self._suspects.crash_count(fingerprint, now),
                "held": self._suspects.held_count(fingerprint, now),
                "sender": message.reports[0].name if message.reports else "",
            }
            logger.info("evidence of crashes received", extra={"fields": fields})

    def _report_members(self) -> None:
        self._on_change()
        count = self._membership.possible_member_count()
        if count != self._known_count:
            self._known_count = count
            names = sorted(row.report.name for row in self._membership.rows())
            fields = {"count": count, "others": names[:MAX_NAMES_LOGGED]}
            logger.info("members changed", extra={"fields": fields})


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """The content of one datagram."""

    reports: tuple[MemberReport, ...]
    """Reports on members, the sender's own first."""
    evidence: tuple[Evidence, ...]
    quota: QuotaMessage | None = None
    """A message about a quota, in datagrams that have nothing else."""


def encode(reports: Sequence[MemberReport], evidence: Sequence[Evidence]) -> bytes:
    """Return a datagram of *reports*, the sender's own first, and *evidence* of crashes."""
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
            r.is_isolated,
            r.is_turned_away,
        )
        for r in reports
    ]
    buffer = TMemoryBuffer()
    ttypes.Gossip(members, [_encode_evidence(e) for e in evidence]).write(
        TBinaryProtocolAccelerated(buffer)
    )
    return buffer.getvalue()


def decode(datagram: bytes) -> GossipMessage | None:
    """Return the content of *datagram*, or ``None`` if it is invalid."""
    gossip = ttypes.Gossip()
    try:
        gossip.read(TBinaryProtocolAccelerated(TMemoryBuffer(datagram)))
        gossip.validate()
        reports = _decode_members(gossip.members)
        evidence = [_decode_evidence(e) for e in gossip.evidence]
        quota = decode_quota(gossip.quota)
    except Exception as exc:  # noqa: BLE001 (thrift raises many kinds on malformed bytes)
        logger.debug("invalid gossip datagram: %r", exc)
        return None
    return GossipMessage(tuple(reports), tuple(evidence), quota)


def _decode_members(records: Sequence[ttypes.Member]) -> list[MemberReport]:
    """Return the valid reports in *records*; raises ``ValueError`` if the sender's own is not.

    The sender passes on what it has heard, so the other reports are not its fault.
    """
    reports: list[MemberReport] = []
    for number, record in enumerate(records):
        try:
            reports.append(_decode_member(record))
        except ValueError as exc:
            if number == 0:
                raise
            logger.debug("invalid report of a member: %r", exc)
    return reports


def _decode_member(record: ttypes.Member) -> MemberReport:
    """Return the report in *record*; raises ``ValueError`` if fields are missing or out of range.

    Datagrams and requests are sent to the address, and the numbers are encoded again.
    """
    if not _is_complete(record):
        raise ValueError("a field is missing")
    if not 0 <= record.incarnation <= MAX_NUMBER or not 0 <= record.heartbeat <= MAX_NUMBER:
        raise ValueError("the incarnation or the heartbeat is out of range")
    if not 0 < record.cores < math.inf:
        raise ValueError("the processor time is out of range")
    return MemberReport(
        record.name,
        parse_address(f"{record.host}:{record.port}"),
        record.incarnation,
        record.heartbeat,
        record.domain,
        record.cores,
        record.leaving,
        record.isolated,
        record.turned_away,
    )


def _encode_evidence(evidence: Evidence) -> ttypes.Evidence:
    crashes = [
        ttypes.Crash(c.server, c.service, c.occasion, int(c.age_s * 1000), c.is_trial)
        for c in evidence.crashes
    ]
    servers = sorted({crash.server for crash in evidence.crashes})
    return ttypes.Evidence(evidence.fingerprint, servers, crashes, evidence.is_harmless)


def _decode_evidence(record: ttypes.Evidence) -> Evidence:
    """Return the evidence in a record; an earlier release states the servers only."""
    if record.crashes is None:
        crashes = [Crash(server, "", server, True) for server in record.servers]
    else:
        crashes = [
            Crash(c.server, c.service_name, c.occasion, c.trial, max(0.0, c.age_ms / 1000))
            for c in record.crashes
            if _is_complete(c)
        ]
    return Evidence(record.fingerprint, tuple(crashes), bool(record.harmless))


def _is_complete(record: ttypes.Member | ttypes.Crash) -> bool:
    return all(getattr(record, name) is not None for name in record.__slots__)
