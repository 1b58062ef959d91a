"""Runs a gateway daemon on the platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from ..errors import MarigoldwalkError
from ..gateway.application import Gateway, serve
from ..gateway.settings import read_gateway_settings
from .headers import PlatformHeaders
from .store import StoreClient

SETTINGS_VARIABLE = "MARIGOLDWALK_BOOT"
"""Names the settings file, which the platform fills in from ``deploy/settings.yaml``."""


def main() -> int:
    """Run the daemon until it is told to stop; returns the exit status."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "settings.yaml"))
    try:
        settings = read_gateway_settings(path)
        store = StoreClient(settings.store_address)
        return serve(
            lambda: Gateway(settings, store, PlatformHeaders()), settings.name, settings.log_level
        )
    except MarigoldwalkError as exc:
        print(f"{exc.code.name} ({exc.code.value}): {exc}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
