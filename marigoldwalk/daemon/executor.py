"""The functions that execute the core's actions, registered by type of action."""

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
    from .platform import PlatformClient
    from .readiness import Readiness

    P = TypeVar("P", bound=Callable[[Any, Any], None])

logger = logging.getLogger(__name__)

_executors: dict[type, Callable[[Any, Any], None]] = {}


@dataclass(slots=True)
class IoLayer:
    """The components of a daemon that execute actions."""

    loop: CoreLoop
    frontend: Frontend
    backends: Backends
    peers: Peers
    platform: PlatformClient
    readiness: Readiness
    recorder: Recorder


def executes(kind: type) -> Callable[[P], P]:
    """Return a decorator that registers a function to execute the actions of one type."""

    def decorate(executor: P) -> P:
        if kind in _executors:
            raise ValueError(f"{kind.__name__} already has an executor")
        _executors[kind] = executor
        return executor

    return decorate


def execute(io_layer: IoLayer, action: Action) -> None:
    """Execute *action* without waiting for its result."""
    _executors[type(action)](io_layer, action)


@executes(AnswerCaller)
def _answer_caller(io_layer: IoLayer, action: AnswerCaller) -> None:
    io_layer.recorder.record(action)
    io_layer.frontend.answer(action)


@executes(SendSubrequest)
def _send_subrequest(io_layer: IoLayer, action: SendSubrequest) -> None:
    io_layer.backends.send(action)


@executes(CancelSubrequest)
def _cancel_subrequest(io_layer: IoLayer, action: CancelSubrequest) -> None:
    io_layer.backends.cancel(action.attempt)


@executes(ProbeServer)
def _probe_server(io_layer: IoLayer, action: ProbeServer) -> None:
    io_layer.backends.probe(action)


@executes(ReadInstances)
def _read_instances(io_layer: IoLayer, action: ReadInstances) -> None:
    io_layer.platform.refresh_instances()


@executes(SendPeer)
def _send_peer(io_layer: IoLayer, action: SendPeer) -> None:
    io_layer.peers.send(action)


@executes(ReadinessChanged)
def _change_readiness(io_layer: IoLayer, action: ReadinessChanged) -> None:
    io_layer.readiness.change(action.ready, action.reason)


@executes(Note)
def _write_note(io_layer: IoLayer, action: Note) -> None:
    logger.info("%s %s", action.subject, action.change, extra={"fields": {"detail": action.detail}})


@executes(Exit)
def _exit(io_layer: IoLayer, action: Exit) -> None:
    io_layer.loop.stop()
