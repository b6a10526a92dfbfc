"""Encoding of envelopes as msgpack."""

from __future__ import annotations

import msgspec

from bergamotthread.errors import DecodeError, Step
from bergamotthread.wire.messages import Envelope

MAX_ENVELOPE_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the encoded envelope."""
    return _encoder.encode(envelope)


def decode_envelope(encoded: bytes, *, peer: str = '') -> Envelope:
    """Return the decoded envelope.

    Raises
    ------
    DecodeError
        If there are more than `MAX_ENVELOPE_BYTES` or the envelope is invalid.
    """
    if len(encoded) > MAX_ENVELOPE_BYTES:
        raise DecodeError(
            f'envelope of {len(encoded)} bytes, '
            f'expected at most {MAX_ENVELOPE_BYTES}',
            step=Step.DECODE,
            peer=peer,
        )
    try:
        return _decoder.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DecodeError(str(error), step=Step.DECODE, peer=peer) from error
