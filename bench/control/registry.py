"""The registry of slopes: measurements of cost against one varied size."""

from __future__ import annotations

from collections.abc import Callable

from marigoldwalk.util.registry import Registry

from .tables import Table

Slope = Callable[[], Table]
"""Measures one slope; the first line of its doc comment is shown in the list of slopes."""

slopes: Registry[Slope] = Registry("slope")
