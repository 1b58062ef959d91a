"""Entry point of ``python -m marigoldwalk``."""

from __future__ import annotations

from .cli import main

if __name__ == "__main__":
    main()
