"""Shared fixtures of the gateway's tests."""

from __future__ import annotations

import pytest

from ..daemon.conftest import closed_address
from .scripted_store import Clock

__all__ = ["closed_address"]


@pytest.fixture
def clock():
    return Clock()
