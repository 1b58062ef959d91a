"""``python -m marigoldwalk.platform`` runs a gateway daemon on the platform."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    # SIGHUP asks for a reload and must not end a process that is still being loaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import main

    sys.exit(main())
