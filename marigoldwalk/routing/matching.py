"""Matching of requests to routes by host and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import Route


class RouteIndex:
    """An index of routes by host and path prefix.

    Prefixes begin and end with a slash, so a lookup tries only the parts of the path that end with
    a slash::

        index = RouteIndex(config.routes)
        index.find("shop.example", "/stock/near/1")
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``."""
        by_prefix = self._by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        plain_path = path.partition("?")[0]
        end = plain_path.rfind("/")
        while end >= 0:
            route = by_prefix.get(plain_path[: end + 1])
            if route is not None:
                return route
            end = plain_path.rfind("/", 0, end)
        return None


def _host_name(host: str) -> str:
    """Return *host* in lower case without the port."""
    return host.partition(":")[0].lower()
