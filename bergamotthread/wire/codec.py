"""Encoding of envelopes as msgpack."""

from __future__ import annotations

import msgspec

from bergamotthread.errors import DecodeError, Step
from bergamotthread.wire.messages import Envelope

MAX_ENVELOPE_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope."""
    return _encoder.encode(envelope)


def decode_envelope(encoded: bytes, *, peer: str = '') -> Envelope:
    """Return the envelope that `encoded` holds.

    Raises
    ------
    DecodeError
        If the bytes are too many or are not a valid envelope.
    """
    if len(encoded) > MAX_ENVELOPE_BYTES:
        raise DecodeError(
            f'{len(encoded)} bytes, expected at most {MAX_ENVELOPE_BYTES}',
            step=Step.DECODE,
            peer=peer,
        )
    try:
        return _decoder.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DecodeError(str(error), step=Step.DECODE, peer=peer) from error
