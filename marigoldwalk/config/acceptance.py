"""Validation of published documents, as a pure function of their text."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from .blocks import partition_into_blocks
from .documents import Document, ServerModel
from .problems import Problem, Rejected
from .selection import resolve
from .validation import validate
from .view import Server, View
from .yaml_text import parse_yaml

__all__ = ["Problem", "Rejected", "Verdict", "accept"]

Verdict = View | Rejected

VERDICT_CACHE_SIZE = 4
"""Number of cached verdicts. The cache lets many cores in one process share one view."""
_DIGEST_BYTES = 16


@lru_cache(maxsize=VERDICT_CACHE_SIZE)
def accept(text: str) -> Verdict:
    """Return the view that *text* describes, or the problems for which it is rejected.

    The verdict depends only on *text*, so all daemons reach the same one. The function does not
    raise for any text. It caches the verdicts of the most recently used texts.
    """
    parsed = parse_yaml(text)
    if isinstance(parsed, Rejected):
        return parsed
    document = validate(Document, parsed)
    if isinstance(document, Rejected):
        return document
    servers = tuple(_server(model) for model in document.servers)
    resolved = resolve(document, servers, parsed)
    if isinstance(resolved, Rejected):
        return resolved
    return View(
        revision=document.revision,
        digest=document_digest(text),
        servers=servers,
        groups=resolved.groups,
        blocks=partition_into_blocks(servers, document.block_services, document.block_replicas),
        excluded=resolved.excluded,
    )


def document_digest(text: str) -> str:
    """Return the digest that identifies a document's exact text."""
    return blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _server(model: ServerModel) -> Server:
    return Server(
        name=model.name,
        address=model.address,
        domain=model.domain,
        index=model.index,
        service=model.service,
        slots=model.slots,
        connections=model.connections,
        labels=tuple(sorted(model.labels.items())),
    )
