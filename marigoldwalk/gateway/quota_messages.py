"""Encoding of the datagrams about quotas."""

from __future__ import annotations

import math
from dataclasses import dataclass

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from ..routing.quota_buckets import QuotaAnswer, QuotaAsk
from ..wire.gen.gossip import ttypes

MAX_ROOM_MS = 2**31 - 1


@dataclass(frozen=True, slots=True)
class QuotaMessage:
    """The content of one datagram about quotas."""

    sender: str
    ask: QuotaAsk | None = None
    answer: QuotaAnswer | None = None
    scarce: str = ""
    """A workspace whose quota is nearly used up."""


def encode_quota(message: QuotaMessage) -> bytes:
    """Return a datagram with *message*; earlier releases ignore its content."""
    ask, answer = message.ask, message.answer
    record = ttypes.Quota(message.sender)
    if ask is not None:
        record.ask = ttypes.QuotaAsk(
            ask.number,
            ask.workspace,
            ask.version,
            ask.rate_per_s,
            ask.burst,
            ask.count,
            ask.is_admitted,
            ask.is_referred,
        )
    if answer is not None:
        record.answer = ttypes.QuotaAnswer(
            answer.number,
            answer.is_granted,
            _milliseconds(answer.room_s),
            _milliseconds(answer.retry_s),
            answer.is_scarce,
            answer.is_leaving,
            answer.is_elsewhere,
        )
    record.scarce = message.scarce or None
    buffer = TMemoryBuffer()
    ttypes.Gossip([], [], record).write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_quota(record: ttypes.Quota | None) -> QuotaMessage | None:
    """Return the message in *record*, or ``None`` if there is none.

    Raises :class:`ValueError` or a thrift exception if it is invalid.
    """
    if record is None:
        return None
    record.validate()
    ask = answer = None
    if record.ask is not None:
        ask = _decode_ask(record.ask)
    if record.answer is not None:
        answer = _decode_answer(record.answer)
    return QuotaMessage(record.sender, ask, answer, record.scarce or "")


def _decode_ask(record: ttypes.QuotaAsk) -> QuotaAsk:
    record.validate()
    is_valid = 0 < record.rate_per_s < math.inf and 0 <= record.burst < math.inf
    if not is_valid or not -1 <= record.count <= 1:
        raise ValueError("the quota or the number of requests is out of range")
    return QuotaAsk(
        record.number,
        record.workspace,
        record.version,
        record.rate_per_s,
        record.burst,
        record.count,
        record.admitted,
        record.referred,
    )


def _decode_answer(record: ttypes.QuotaAnswer) -> QuotaAnswer:
    record.validate()
    if record.room_ms < 0 or record.retry_ms < 0:
        raise ValueError("the time of an answer is negative")
    return QuotaAnswer(
        record.number,
        record.granted,
        record.room_ms / 1000,
        record.retry_ms / 1000,
        record.scarce,
        record.leaving,
        record.elsewhere,
    )


def _milliseconds(seconds: float) -> int:
    return min(math.ceil(seconds * 1000), MAX_ROOM_MS)
