"""The routing configuration in force as JSON values, for the administration API and its readers."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from pydantic import TypeAdapter

from ..routing.model import RoutingConfig

_ADAPTER = TypeAdapter(RoutingConfig)
_DIGESTS = "key_digests"


def dump_config(config: RoutingConfig) -> dict[str, Any]:
    """Return *config* as values that JSON can represent. Of keys, it contains the digests."""
    record = asdict(config)
    for workspace in record["workspaces"]:
        workspace[_DIGESTS] = sorted(digest.hex() for digest in workspace[_DIGESTS])
    return record


def load_config(record: dict[str, Any]) -> RoutingConfig:
    """Return the configuration that :func:`dump_config` has encoded; raises ``ValueError``."""
    workspaces = [
        workspace | {_DIGESTS: frozenset(map(bytes.fromhex, workspace[_DIGESTS]))}
        for workspace in record["workspaces"]
    ]
    return _ADAPTER.validate_python(record | {"workspaces": workspaces})
