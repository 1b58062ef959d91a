"""The core with all its systems; who makes a core imports it from here.

Importing the systems fills the engine's registries. The engine itself knows none of them, so that
each module of the core can be read, and imported, by itself.
"""

from __future__ import annotations

from . import systems  # noqa: F401
from .engine import Core

__all__ = ["Core"]
