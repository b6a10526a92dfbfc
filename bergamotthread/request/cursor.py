"""Signed cursors: positions of callers in the output of a generation."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from bergamotthread.errors import DecodeError, Step

_DIGEST_BYTES = 12
_MAX_CURSOR_CHARACTERS = 1024


class Cursor(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Offset in a generation, the attempt that produced it and its team.

    `output_digest` covers the tokens before `offset`, to check tokens that the
    caller sends back; `request_digest` covers the request.
    """

    generation: str
    attempt: int
    offset: int
    agent: str
    team: str
    request_digest: int
    output_digest: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Cursor)


class CursorSigner:
    """Signs cursors with the first key and accepts signatures of all keys."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError('no cursor key, expected at least one')
        self._keys = tuple(keys)

    def sign(self, cursor: Cursor) -> str:
        """Return a cursor as signed, opaque text."""
        plain = _encoder.encode(cursor)
        signed = _digest(plain, self._keys[0]) + plain
        return base64.urlsafe_b64encode(signed).rstrip(b'=').decode()

    def verify(self, text: str) -> Cursor:
        """Decode a signed cursor.

        Raises
        ------
        DecodeError
            If the text is not a cursor or is not signed with an accepted key.
        """
        if len(text) > _MAX_CURSOR_CHARACTERS:
            raise DecodeError('cursor too long', step=Step.DECODE)
        try:
            signed = _decode_base64(text)
        except (binascii.Error, ValueError) as error:
            raise DecodeError('cursor not base64', step=Step.DECODE) from error
        digest = signed[:_DIGEST_BYTES]
        plain = signed[_DIGEST_BYTES:]
        if not self._is_signed(plain, digest):
            raise DecodeError('cursor not signed by us', step=Step.DECODE)
        try:
            return _decoder.decode(plain)
        except msgspec.DecodeError as error:
            raise DecodeError('cursor malformed', step=Step.DECODE) from error

    def _is_signed(self, plain: bytes, digest: bytes) -> bool:
        for key in self._keys:
            if hmac.compare_digest(digest, _digest(plain, key)):
                return True
        return False


def _decode_base64(text: str) -> bytes:
    padding = '=' * (-len(text) % 4)
    return base64.urlsafe_b64decode(text + padding)


def _digest(plain: bytes, key: bytes) -> bytes:
    keyed = hashlib.blake2b(plain, digest_size=_DIGEST_BYTES, key=key)
    return keyed.digest()
