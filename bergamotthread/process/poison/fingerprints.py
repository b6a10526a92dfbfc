"""Fingerprints of the content of requests."""

from __future__ import annotations

import xxhash

from bergamotthread.wire.messages import Pin

_FIELD_SEPARATOR = '\x1f'


def request_fingerprint(team: str, pin: Pin, prompt: str) -> int:
    """Return the non-zero 64-bit fingerprint of a request's content."""
    parts = (team, pin.model, pin.version, pin.adapter, prompt)
    joined = _FIELD_SEPARATOR.join(parts).encode()
    return xxhash.xxh3_64_intdigest(joined) or 1
