"""A query tier between callers and many backend servers."""

from __future__ import annotations

__version__ = "0.1.0"
