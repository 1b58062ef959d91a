"""Registered strategies for behaviour that differs between groups."""

from __future__ import annotations

from . import coverage, limits, merging, replicas, routing  # noqa: F401
