"""A registry of named strategies that decorators fill."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to strategies of one kind.

    ::

        routes: Registry[Route] = Registry("route")

        @routes.register("all")
        def route_to_all(...): ...

        routes.get("all")
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under *name*."""

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the strategy registered under *name*; raises ``KeyError``."""
        return self._entries[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names, sorted."""
        return tuple(sorted(self._entries))
