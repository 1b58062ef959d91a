"""The registry of functions that perform the core's actions, by type of action."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

from ..core.actions import (
    AnswerCaller,
    CancelSubrequest,
    Exit,
    Note,
    ProbeServer,
    ReadinessChanged,
    ReadInstances,
    SendPeer,
    SendSubrequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.actions import Action
    from ..metrics.recorder import Recorder
    from .backends import Backends
    from .core_loop import CoreLoop
    from .frontend import Frontend
    from .peers import Peers
    from .platform import Platform
    from .readiness import Readiness

    P = TypeVar("P", bound=Callable[[Any, Any], None])

logger = logging.getLogger(__name__)

_performers: dict[type, Callable[[Any, Any], None]] = {}


@dataclass(slots=True)
class IoLayer:
    """The parts of a daemon that perform actions."""

    loop: CoreLoop
    entry: Frontend
    backends: Backends
    peers: Peers
    platform: Platform
    readiness: Readiness
    recorder: Recorder


def performs(kind: type) -> Callable[[P], P]:
    """Register a function that performs one type of action."""

    def decorate(performer: P) -> P:
        if kind in _performers:
            raise ValueError(f"{kind.__name__} already has a performer")
        _performers[kind] = performer
        return performer

    return decorate


def perform(shells: IoLayer, action: Action) -> None:
    """Perform *action* without waiting for its outcome."""
    _performers[type(action)](shells, action)


@performs(AnswerCaller)
def _answer_caller(shells: IoLayer, action: AnswerCaller) -> None:
    shells.recorder.record(action)
    shells.entry.answer(action)


@performs(SendSubrequest)
def _send_subrequest(shells: IoLayer, action: SendSubrequest) -> None:
    shells.backends.send(action)


@performs(CancelSubrequest)
def _cancel_subrequest(shells: IoLayer, action: CancelSubrequest) -> None:
    shells.backends.cancel(action.attempt)


@performs(ProbeServer)
def _probe_server(shells: IoLayer, action: ProbeServer) -> None:
    shells.backends.probe(action)


@performs(ReadInstances)
def _read_instances(shells: IoLayer, action: ReadInstances) -> None:
    shells.platform.hasten_instances()


@performs(SendPeer)
def _send_peer(shells: IoLayer, action: SendPeer) -> None:
    shells.peers.send(action)


@performs(ReadinessChanged)
def _change_readiness(shells: IoLayer, action: ReadinessChanged) -> None:
    shells.readiness.change(action.ready, action.reason)


@performs(Note)
def _write_note(shells: IoLayer, action: Note) -> None:
    logger.info("%s %s", action.subject, action.change, extra={"fields": {"detail": action.detail}})


@performs(Exit)
def _exit(shells: IoLayer, action: Exit) -> None:
    shells.loop.stop()
