"""Shared fixtures of the gateway's tests."""

from __future__ import annotations

from ..daemon.conftest import closed_address

__all__ = ["closed_address"]
