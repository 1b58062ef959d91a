"""Identification of the workspace that a request belongs to, by the digest of the caller's key.

Load pattern: a busy daemon identifies thousands of requests a second, in a configuration with many
workspaces. A request costs one lookup, however many workspaces and keys there are. Timing shows
nothing about the keys, since only digests are compared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import RefusalReason
from .exchanges import ErrorAnswer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .model import Route, Workspace

DOUBTFUL_RETRY_S = 1.0
"""Time after which a caller may try again while withdrawn keys might go unnoticed."""


class WorkspaceIndex:
    """The workspaces of one configuration version by key and by name::

        index = WorkspaceIndex(config.workspaces)
        workspace = index.identify(route, [digest], is_doubtful=False)

    A key that several workspaces hold belongs to the first of them.
    """

    def __init__(self, workspaces: Sequence[Workspace]) -> None:
        self.is_empty = not workspaces
        """Whether the configuration has no workspaces, so that requests need no keys."""
        self._by_name: dict[str, Workspace] = {}
        self._by_digest: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            self._by_name.setdefault(workspace.name, workspace)
            for digest in workspace.key_digests:
                self._by_digest.setdefault(digest, workspace)

    def identify(
        self, route: Route, key_digests: Sequence[bytes], is_doubtful: bool
    ) -> Workspace | ErrorAnswer | None:
        """Return the workspace of a request with these keys, ``None``, or why it is refused.

        A request on a public route belongs to the workspace of its key if it has a known one. If
        *is_doubtful*, any key may have been withdrawn.
        """
        if self.is_empty:
            return None
        workspace = self._by_digest.get(key_digests[0]) if len(key_digests) == 1 else None
        if route.is_public:
            return None if is_doubtful else workspace
        if not key_digests:
            return ErrorAnswer(401, RefusalReason.MISSING_KEY)
        if is_doubtful:
            return ErrorAnswer(503, RefusalReason.KEYS_DOUBTFUL, DOUBTFUL_RETRY_S)
        return workspace or ErrorAnswer(401, RefusalReason.UNKNOWN_KEY)

    def find(self, route: Route, name: str) -> Workspace | ErrorAnswer | None:
        """Return the workspace that another daemon has identified; an empty *name* is none."""
        workspace = self._by_name.get(name)
        if workspace is None and (name or not (self.is_empty or route.is_public)):
            return ErrorAnswer(401, RefusalReason.UNKNOWN_KEY)
        return workspace
