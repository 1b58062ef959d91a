"""``python -m marigoldwalk.platform`` runs a gateway daemon on the platform."""

from __future__ import annotations

import gc
import os
import signal
import sys

SETTINGS_VARIABLE = "MARIGOLDWALK_BOOT"
"""Environment variable with the path of the settings file, which the platform generates from
``deploy/settings.yaml``."""

if __name__ == "__main__":
    # SIGHUP requests a reload and must not terminate the process while it is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loading modules takes nearly all of a start. They leave little garbage.
    gc.disable()
    from . import libraries  # noqa: F401 (loads them)
    from .early_listener import open_caller_listener

    path = os.environ.get(SETTINGS_VARIABLE, "settings.yaml")
    caller_listener = open_caller_listener(path)
    from .program import main

    gc.enable()
    sys.exit(main(path, caller_listener))
