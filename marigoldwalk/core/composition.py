"""The core with all its systems; code that creates a ``Core`` imports it from here.

Importing the systems registers their handlers with the engine. The engine itself imports none of
them, so that each module of the core can be imported on its own.
"""

from __future__ import annotations

from . import systems  # noqa: F401
from .engine import Core

__all__ = ["Core"]
