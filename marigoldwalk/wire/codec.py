"""Conversion between the core's messages and thrift frames.

The dataclasses of :mod:`marigoldwalk.core.peer_messages` and the generated structs have the same
fields in the same order. One table of converters by field name therefore covers all messages; it
lists only the fields that need a conversion. Names differ only where thrift reserves a word.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import TYPE_CHECKING, Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from ..core import peer_messages as core
from ..errors import Missing
from .gen.marigoldwalk import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.peer_messages import Hit, Holding, MissingShard, PeerMessage

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_CONTAINER_ITEMS = 1_000_000
LENGTH_PREFIX = struct.Struct(">I")
"""The prefix of each frame: the length of the envelope in bytes."""


class WireError(ValueError):
    """An envelope cannot be encoded or decoded."""


class UnknownMessageError(WireError):
    """An envelope is well-formed but has a message or a value that only newer daemons know."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the name of the daemon that sent it."""

    sender: str
    message: PeerMessage


_MISSING_TO_WIRE = {missing: getattr(ttypes.MissingReason, missing.name) for missing in Missing}
_MISSING_FROM_WIRE = {number: missing for missing, number in _MISSING_TO_WIRE.items()}


def _hits_to_wire(hits: tuple[Hit, ...]) -> list[ttypes.Hit]:
    return [ttypes.Hit(hit.key, hit.score, hit.body) for hit in hits]


def _hits_from_wire(hits: list[ttypes.Hit]) -> tuple[Hit, ...]:
    return tuple([core.Hit(*_require_all((hit.key, hit.score, hit.body))) for hit in hits])


def _holdings_to_wire(holdings: tuple[Holding, ...]) -> list[ttypes.Holding]:
    return [ttypes.Holding(h.snapshot, h.shard_count, h.shards) for h in holdings]


def _holdings_from_wire(holdings: list[ttypes.Holding]) -> tuple[Holding, ...]:
    return tuple(
        core.Holding(*_require_all((h.snapshot, h.shard_count)), tuple(h.shards)) for h in holdings
    )


def _missing_to_wire(missing: tuple[MissingShard, ...]) -> list[ttypes.MissingShard]:
    return [ttypes.MissingShard(m.shard, _MISSING_TO_WIRE[m.reason]) for m in missing]


def _missing_from_wire(missing: list[ttypes.MissingShard]) -> tuple[MissingShard, ...]:
    return tuple(
        core.MissingShard(*_require_all((m.shard,)), _MISSING_FROM_WIRE[m.reason]) for m in missing
    )


_TO_WIRE: dict[str, Callable[[Any], Any]] = {
    "hits": _hits_to_wire,
    "holdings": _holdings_to_wire,
    "missing": _missing_to_wire,
    "answer": int,
}
_FROM_WIRE: dict[str, Callable[[Any], Any]] = {
    "shards": tuple,
    "waits_s": tuple,
    "warm": tuple,
    "hits": _hits_from_wire,
    "holdings": _holdings_from_wire,
    "missing": _missing_from_wire,
    "answer": core.ClaimAnswer,
}


def _require_all(values: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return *values*, or raise :class:`WireError` if a field is missing."""
    if None in values:
        raise WireError("a field of the envelope is missing")
    return values


def _values_getter(names: Sequence[str]) -> Callable[[Any], tuple[Any, ...]]:
    getter = attrgetter(*names)
    return getter if len(names) > 1 else lambda item: (getter(item),)


class _MessageCodec:
    """The conversion of one type of message to and from its thrift struct."""

    def __init__(self, member: str, core_type: type, wire_type: type) -> None:
        names = [field.name for field in fields(core_type)]
        self.member = member
        self._core_type = core_type
        self._wire_type = wire_type
        self._core_values = _values_getter(names)
        self._wire_values = _values_getter(wire_type.__slots__)
        self._to_wire = [(i, _TO_WIRE[name]) for i, name in enumerate(names) if name in _TO_WIRE]
        self._from_wire = [
            (i, _FROM_WIRE[name]) for i, name in enumerate(names) if name in _FROM_WIRE
        ]

    def to_wire(self, message: PeerMessage) -> Any:
        values = list(self._core_values(message))
        for position, convert in self._to_wire:
            values[position] = convert(values[position])
        return self._wire_type(*values)

    def from_wire(self, item: Any) -> PeerMessage:
        values = list(_require_all(self._wire_values(item)))
        for position, convert in self._from_wire:
            values[position] = convert(values[position])
        return self._core_type(*values)


_CODECS = [
    _MessageCodec(spec[2], getattr(core, spec[3][0].__name__), spec[3][0])
    for spec in ttypes.Message.thrift_spec
    if spec is not None
]
_CODEC_BY_TYPE = {codec._core_type: codec for codec in _CODECS}


def encode(envelope: Envelope) -> bytes:
    """Return the frame of *envelope*, including the length prefix.

    Raises :class:`WireError` if a value does not fit its field or the frame is too large.
    """
    codec = _CODEC_BY_TYPE[type(envelope.message)]
    message = ttypes.Message(**{codec.member: codec.to_wire(envelope.message)})
    buffer = TMemoryBuffer()
    try:
        ttypes.Envelope(envelope.sender, message).write(TBinaryProtocolAccelerated(buffer))
    except (OverflowError, TypeError, ValueError) as exc:
        raise WireError(f"a {codec.member} cannot be encoded: {exc}") from exc
    body = buffer.getvalue()
    if len(body) > MAX_FRAME_BYTES:
        raise WireError(f"a {codec.member} of {len(body)} bytes is too large")
    return LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> Envelope:
    """Return the envelope in the frame *body*, without the length prefix.

    Raises :class:`WireError`. After its subclass :class:`UnknownMessageError`, the connection is
    still usable.
    """
    item = ttypes.Envelope()
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(body),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
    try:
        item.read(protocol)
    except Exception as exc:  # The library raises many types for malformed bytes.
        raise WireError(f"the envelope cannot be decoded: {exc!r}") from exc
    try:
        return _envelope_from_wire(item)
    except WireError:
        raise
    except (KeyError, ValueError) as exc:
        raise UnknownMessageError(f"unknown enumeration value: {exc}") from exc
    except TypeError as exc:
        raise WireError(f"the envelope cannot be decoded: {exc!r}") from exc


def _envelope_from_wire(item: ttypes.Envelope) -> Envelope:
    sender, message = _require_all((item.sender, item.message))
    for codec in _CODECS:
        content = getattr(message, codec.member)
        if content is not None:
            return Envelope(sender, codec.from_wire(content))
    raise UnknownMessageError("the envelope has no message of a known type")
