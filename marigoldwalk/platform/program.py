"""Entry point of a gateway daemon on the platform."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from ..errors import MarigoldwalkError
from ..gateway.application import Gateway, serve
from ..gateway.settings import read_gateway_settings
from .headers import PlatformHeaderCodec
from .mirror import Mirror
from .store import StoreClient

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from ..daemon.http_server import WsgiApplication
    from ..gateway.settings import GatewaySettings


def make_gateway(
    settings: GatewaySettings, caller_listener: socket.socket | None = None
) -> Gateway:
    """Return a gateway daemon that uses the platform's headers and store.

    *caller_listener* is used for callers if it listens on the address in *settings*.
    """

    def open_store(is_fresh: Callable[[], bool]) -> tuple[StoreClient, WsgiApplication]:
        mirror = Mirror(is_fresh)
        return StoreClient(settings.store_address, mirror), mirror.app

    return Gateway(settings, PlatformHeaderCodec(), open_store, caller_listener)


def main(path: str, caller_listener: socket.socket | None = None) -> int:
    """Run the daemon until it is stopped; returns the exit status.

    *path* is that of the settings file.
    """
    try:
        settings = read_gateway_settings(Path(path))
        return serve(
            lambda: make_gateway(settings, caller_listener), settings.name, settings.log_level
        )
    except MarigoldwalkError as exc:
        print(f"{exc.code.name} ({exc.code.value}): {exc}", file=sys.stderr)
        return 2
