"""Fixtures that the tests of the shells share."""

from __future__ import annotations

from ..daemon.conftest import closed_address

__all__ = ["closed_address"]
