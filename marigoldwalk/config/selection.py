"""Checks that involve several fields of a document, and evaluation of its selectors."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import chain
from typing import TYPE_CHECKING

from .selectors import BUILT_IN_KEYS, In, SelectorError, parse_selector, selectable_labels
from .validation import reject
from .view import Group

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from .documents import Document, GroupModel
    from .problems import FieldPath, Rejected
    from .selectors import Selector
    from .view import Server
    from .yaml_text import ParsedText


@dataclass(frozen=True, slots=True)
class Resolved:
    """The groups of a document, and the names of the servers that its exclusions select."""

    groups: tuple[Group, ...]
    excluded: frozenset[str]


def resolve(
    document: Document, servers: tuple[Server, ...], parsed: ParsedText
) -> Resolved | Rejected:
    """Return the groups and exclusions of *document* over *servers*, or its problems."""
    return _Resolver(document, servers).resolve(parsed)


class _Resolver:
    """Resolves the selectors of one document and collects its problems."""

    def __init__(self, document: Document, servers: tuple[Server, ...]) -> None:
        self._document = document
        self._servers = servers
        self._labels = [(server, selectable_labels(server)) for server in servers]
        self._servers_by_label: dict[str, dict[str, list[tuple[Server, dict[str, str]]]]] = {}
        self._problems: list[tuple[FieldPath, str]] = []

    def resolve(self, parsed: ParsedText) -> Resolved | Rejected:
        self._check_servers()
        self._check_groups()
        groups = tuple(
            self._group(position, model) for position, model in enumerate(self._document.groups)
        )
        excluded = frozenset(
            server.name
            for position, exclusion in enumerate(self._document.exclusions)
            for server in self._select(("exclusions", position, "select"), exclusion.select)
        )
        if self._problems:
            return reject(parsed, self._problems)
        return Resolved(groups, excluded)

    def _check_servers(self) -> None:
        servers = self._servers
        self._check_unique("servers", "name", (server.name for server in servers))
        self._check_unique("servers", "address", (server.address for server in servers))
        index_of_service: dict[str, str] = {}
        for position, server in enumerate(servers):
            path = ("servers", position)
            if server.connections < server.slots:
                message = f"{server.connections} connections cannot fill {server.slots} slots"
                self._report((*path, "connections"), message)
            index = index_of_service.setdefault(server.service, server.index)
            if index != server.index:
                message = f"Service {server.service!r} already belongs to index {index!r}"
                self._report((*path, "index"), message)
            for key, _ in server.labels:
                if key in BUILT_IN_KEYS:
                    self._report((*path, "labels", key), f"{key!r} is a server's own field")

    def _check_groups(self) -> None:
        names = (group.name for group in self._document.groups)
        self._check_unique("groups", "name", names)

    def _check_unique(self, section: str, field: str, values: Iterable[Hashable]) -> None:
        first: dict[Hashable, int] = {}
        for position, value in enumerate(values):
            earlier = first.setdefault(value, position)
            if earlier != position:
                message = f"'{value}' is already used by {section}[{earlier}]"
                self._report((section, position, field), message)

    def _group(self, position: int, model: GroupModel) -> Group:
        path = ("groups", position, "select")
        problems_before = len(self._problems)
        selected = self._select(path, model.select)
        indexes = sorted({server.index for server in selected})
        if len(indexes) > 1:
            self._report(
                path, f"The selector takes servers of several indexes: {_shortened(indexes)}"
            )
        elif not selected and len(self._problems) == problems_before:
            self._report(path, "The selector takes no server")
        return Group(
            **model.model_dump(),
            index=indexes[0] if indexes else "",
            servers=frozenset(server.name for server in selected),
        )

    def _select(self, path: FieldPath, select: str) -> list[Server]:
        try:
            selector = parse_selector(select)
        except SelectorError as exc:
            self._report(path, str(exc))
            return []
        return [server for server, labels in self._candidates(selector) if selector.matches(labels)]

    def _candidates(self, selector: Selector) -> Iterable[tuple[Server, dict[str, str]]]:
        """Return the servers that meet the first ``In`` requirement, or all if there is none.

        Most selectors name an index, so only few have to be matched against every server.
        """
        for requirement in selector.requirements:
            if isinstance(requirement, In):
                by_value = self._servers_by_value(requirement.key)
                values = sorted(requirement.values)
                return chain.from_iterable(by_value.get(value, ()) for value in values)
        return self._labels

    def _servers_by_value(self, key: str) -> dict[str, list[tuple[Server, dict[str, str]]]]:
        if key not in self._servers_by_label:
            by_value = self._servers_by_label[key] = defaultdict(list)
            for server, labels in self._labels:
                if key in labels:
                    by_value[labels[key]].append((server, labels))
        return self._servers_by_label[key]

    def _report(self, path: FieldPath, message: str) -> None:
        self._problems.append((path, message))


def _shortened(names: list[str]) -> str:
    shown = ", ".join(names[:5])
    return f"{shown}, ..." if len(names) > 5 else shown
