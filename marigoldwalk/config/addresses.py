"""Parsing of addresses in configuration: an IPv4 address and a port."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

from pydantic import BeforeValidator, InstanceOf

from .view import Address

MAX_PORT = 65_535


def parse_address(text: object) -> Address:
    """Return the address in a text of the form ``ip:port``.

    Raises ``ValueError`` with a message for operators. Host names are refused, because a DNS
    lookup could give each daemon a different address.
    """
    if isinstance(text, Address):
        return text
    if not isinstance(text, str):
        raise ValueError("An address is a string such as 127.0.0.1:7001.")
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdecimal() or len(port) > 5:
        raise ValueError(f"{text[:60]!r} is not of the form ip:port.")
    if int(port) > MAX_PORT:
        raise ValueError(f"Port {port} is above {MAX_PORT}.")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError(f"{host[:60]!r} is not an IPv4 address.") from None
    return Address(host, int(port))


def parse_server_address(text: object) -> Address:
    """Return the address of a backend server; its port cannot be 0."""
    address = parse_address(text)
    if address.port == 0:
        raise ValueError("A backend server's port cannot be 0.")
    return address


ListenAddress = Annotated[InstanceOf[Address], BeforeValidator(parse_address)]
"""An address on which a daemon listens; with port 0, the operating system chooses the port."""

ServerAddress = Annotated[InstanceOf[Address], BeforeValidator(parse_server_address)]
"""The address of a backend server."""
