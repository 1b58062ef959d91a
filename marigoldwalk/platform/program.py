"""Entry point of a gateway daemon on the platform."""

from __future__ import annotations

import os
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
    from collections.abc import Callable

    import bottle

    from ..gateway.settings import GatewaySettings

SETTINGS_VARIABLE = "MARIGOLDWALK_BOOT"
"""Environment variable with the path of the settings file, which the platform generates from
``deploy/settings.yaml``."""


def make_gateway(settings: GatewaySettings) -> Gateway:
    """Return a gateway daemon that uses the platform's headers and store."""

    def open_store(is_fresh: Callable[[], bool]) -> tuple[StoreClient, bottle.Bottle]:
        mirror = Mirror(is_fresh)
        return StoreClient(settings.store_address, mirror), mirror.app

    return Gateway(settings, PlatformHeaderCodec(), open_store)


def main() -> int:
    """Run the daemon until it is stopped; returns the exit status."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "settings.yaml"))
    try:
        settings = read_gateway_settings(path)
        return serve(lambda: make_gateway(settings), settings.name, settings.log_level)
    except MarigoldwalkError as exc:
        print(f"{exc.code.name} ({exc.code.value}): {exc}", file=sys.stderr)
        return 2
