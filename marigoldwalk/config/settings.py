"""A daemon's own settings, read from a YAML file.

::

    name: m-1
    domain: bud-a
    caller_address: 127.0.0.1:7000
    peer_address: 127.0.0.1:7001
    admin_address: 127.0.0.1:7002
    platform: http://127.0.0.1:9000
    parameters: {heartbeat_s: 0.5}
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Annotated, Any, Literal, get_type_hints

from pydantic import AfterValidator, Field, create_model
from urllib3.exceptions import LocationParseError
from urllib3.util import parse_url

from ..core.parameters import Parameters
from ..errors import Code, MarigoldwalkError
from .addresses import ListenAddress  # noqa: TC001 (read by pydantic)
from .problems import Rejected
from .text_files import read_text
from .validation import Name, StrictModel, reject, validate
from .yaml_text import parse_yaml

if TYPE_CHECKING:
    from pathlib import Path

    from .view import Address
    from .yaml_text import ParsedText

logger = logging.getLogger(__name__)

DEFAULT_MAX_BODY_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one daemon. ``platform`` is the base URL of the platform."""

    name: str
    domain: str
    caller_address: Address
    peer_address: Address
    admin_address: Address
    platform: str
    log_level: str
    max_body_bytes: int
    parameters: Parameters


def _check_url(text: str) -> str:
    """Return *text* without a trailing slash; raises ``ValueError`` if it is not a base URL."""
    try:
        url = parse_url(text)
    except LocationParseError:
        raise ValueError("The platform's URL cannot be parsed.") from None
    if url.scheme != "http" or not url.host:
        raise ValueError("The platform's URL must start with http:// and name a host.")
    if url.query or url.fragment or url.auth:
        raise ValueError("The platform's URL must not contain a query, a fragment or credentials.")
    return text.rstrip("/")


def _parameter_fields() -> dict[str, Any]:
    """Return a model field for each of the core's parameters; no parameter may be negative."""
    types = get_type_hints(Parameters)
    return {
        field.name: (types[field.name], Field(default=field.default, ge=0, le=1_000_000))
        for field in fields(Parameters)
    }


_ParametersModel = create_model("_ParametersModel", __base__=StrictModel, **_parameter_fields())


class SettingsModel(StrictModel):
    """The fields of the settings file."""

    name: Name
    domain: Name
    caller_address: ListenAddress
    peer_address: ListenAddress
    admin_address: ListenAddress
    platform: Annotated[str, AfterValidator(_check_url)]
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    max_body_bytes: int = Field(default=DEFAULT_MAX_BODY_BYTES, ge=64, le=MAX_BODY_BYTES)
    parameters: _ParametersModel = Field(default_factory=_ParametersModel)


def parse_settings(text: str) -> Settings | Rejected:
    """Return the settings in *text*, or the problems found in it."""
    parsed = parse_yaml(text)
    if isinstance(parsed, Rejected):
        return parsed
    model = validate(SettingsModel, parsed)
    if isinstance(model, Rejected):
        return model
    conflict = _check_addresses(model, parsed)
    if conflict is not None:
        return conflict
    return _settings(model)


def read_settings(path: Path) -> Settings:
    """Read the settings file at *path*.

    Raises :class:`~marigoldwalk.errors.MarigoldwalkError` with ``SETTINGS_UNREADABLE`` or
    ``SETTINGS_INVALID``; the latter's message lists every problem with its line.
    """
    settings = parse_settings(read_text(path, Code.SETTINGS_UNREADABLE))
    if isinstance(settings, Rejected):
        lines = "\n".join(f"{path}:{problem}" for problem in settings.problems)
        raise MarigoldwalkError(Code.SETTINGS_INVALID, lines)
    logger.debug("settings read for daemon %s", settings.name)
    return settings


def _check_addresses(model: SettingsModel, parsed: ParsedText) -> Rejected | None:
    """Return a rejection if two of the daemon's addresses are the same."""
    names = ("caller_address", "peer_address", "admin_address")
    first: dict[Address, str] = {}
    found = []
    for name in names:
        address = getattr(model, name)
        earlier = first.setdefault(address, name)
        if earlier != name and address.port:
            found.append(((name,), f"{address} is already the {earlier}"))
    return reject(parsed, found) if found else None


def _settings(model: SettingsModel) -> Settings:
    values = {name: getattr(model, name) for name in SettingsModel.model_fields}
    values["parameters"] = Parameters(**model.parameters.model_dump())
    return Settings(**values)
