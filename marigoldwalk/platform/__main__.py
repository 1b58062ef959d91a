"""``python -m marigoldwalk.platform`` runs a gateway daemon on the platform."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    # SIGHUP requests a reload and must not terminate the process while it is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import main

    sys.exit(main())
