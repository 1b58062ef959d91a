"""Digests of callers' keys. The keys themselves are not kept, so no log or error can show one."""

from __future__ import annotations

from hashlib import blake2b

_DIGEST_BYTES = 32


def digest_of(key: bytes) -> bytes:
    """Return the digest of a key as sent in a header, or of one from the configuration."""
    return blake2b(key, digest_size=_DIGEST_BYTES).digest()
