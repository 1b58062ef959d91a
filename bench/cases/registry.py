"""The registry of benchmark cases."""

from __future__ import annotations

from collections.abc import Callable

from marigoldwalk.util.registry import Registry

from ..results import Results
from ..rig import Rig

Case = Callable[[Rig, Results], None]
"""Sends loads to the fleet of a rig and adds what it measures to the results."""

cases: Registry[Case] = Registry("case")
