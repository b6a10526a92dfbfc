"""Fingerprints of the content of requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from bergamotthread.wire.messages import Pin

_FIELD_SEPARATOR = '\x1f'


@dataclass(frozen=True, slots=True)
class RequestFingerprints:
    """Fingerprints by which a request is recognised when it comes again.

    Parameters
    ----------
    content_hash
        Fingerprint of the whole request.
    part_hashes
        Fingerprints of the parts of its prompt that other requests share, in
        order.
    """

    content_hash: int
    part_hashes: tuple[int, ...] = ()

    @property
    def label(self) -> str:
        """Return the fingerprint of the content as text, for logs."""
        return f'{self.content_hash:016x}'


def request_fingerprint(team: str, pin: Pin, prompt: str) -> int:
    """Return the non-zero 64-bit fingerprint of a request's content."""
    parts = (team, pin.model, pin.version, pin.adapter, prompt)
    joined = _FIELD_SEPARATOR.join(parts).encode()
    return xxhash.xxh3_64_intdigest(joined) or 1


def relayed_fingerprint(team: str, fields: Iterable[bytes]) -> int:
    """Return the non-zero 64-bit fingerprint of a relayed request's content.

    Parameters
    ----------
    fields
        What the upstream gets of each sending of the same request: method,
        host, target and body.
    """
    digest = xxhash.xxh3_64(team.encode())
    for part in fields:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.intdigest() or 1


def part_fingerprint(model: bytes, part_id: bytes) -> int:
    """Return the non-zero 64-bit fingerprint of a part of prompts."""
    return xxhash.xxh3_64_intdigest(b'%b\x1f%b' % (model, part_id)) or 1
