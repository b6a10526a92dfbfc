import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.errors import DecodeError
from bergamotthread.wire import codec
from bergamotthread.wire.codec import decode_envelope, encode_envelope
from bergamotthread.wire.messages import (
    Acks,
    CallDispatch,
    Cancel,
    ConfigNotice,
    Dispatch,
    EndMark,
    EndReason,
    Envelope,
    Frame,
    LoadReport,
    Message,
    OutputBatch,
    Pin,
)

_MAX_ALLOCATED_BYTES = 1_000_000
_ARRAY_OF_4_BILLION = b'\xdd\xff\xff\xff\xff'
_TEXT_OF_4_GB = b'\xdb\xff\xff\xff\xff'
_BYTES_OF_4_GB = b'\xc6\xff\xff\xff\xff'

_messages = st.one_of(
    st.builds(Cancel, st.text(), st.integers(0, 2**63 - 1)),
    st.builds(ConfigNotice, st.integers(0, 100), st.binary()),
    st.builds(
        Dispatch,
        st.text(),
        st.integers(0, 9),
        st.builds(Pin, st.text(), st.text()),
        st.text(),
        st.lists(st.text(max_size=3), max_size=3).map(tuple),
        st.integers(0, 99),
        st.floats(0, 1e9),
    ),
    st.just(
        OutputBatch(
            (Frame('g', 1, 0, ('a',), EndMark(EndReason.STOP, 1)),),
            LoadReport(),
        )
    ),
    st.just(Acks(())),
    st.just(CallDispatch('c', 1, 'GET', '/', (('a', 'b'),), b'', 1)),
)


def _decode(encoded: bytes) -> Envelope | None:
    try:
        return decode_envelope(encoded, peer='10.0.0.1:7')
    except DecodeError as error:
        assert error.peer == '10.0.0.1:7'
        return None


@given(sender=st.text(), message=_messages)
def test_round_trip(sender: str, message: Message) -> None:
    envelope = Envelope(sender, 7, message)
    assert decode_envelope(encode_envelope(envelope)) == envelope


@given(encoded=st.binary(max_size=64))
def test_any_bytes_are_an_envelope_or_a_clear_error(encoded: bytes) -> None:
    _decode(encoded)


@given(message=_messages, place=st.floats(0, 1), byte=st.integers(0, 255))
def test_changed_byte_is_an_envelope_or_a_clear_error(
    message: Message, place: float, byte: int
) -> None:
    encoded = bytearray(encode_envelope(Envelope('10.0.0.1:7', 1, message)))
    encoded[int(place * (len(encoded) - 1))] = byte
    _decode(bytes(encoded))


@given(message=_messages, share=st.floats(0, 0.999))
def test_cut_envelope_is_a_clear_error(message: Message, share: float) -> None:
    encoded = encode_envelope(Envelope('10.0.0.1:7', 1, message))
    assert _decode(encoded[: int(share * len(encoded))]) is None


@pytest.mark.parametrize(
    'encoded',
    [
        _ARRAY_OF_4_BILLION,
        b'\x93' + _TEXT_OF_4_GB,
        b'\x93\xa1a' + _ARRAY_OF_4_BILLION,
        b'\x93\xa1a\x01\x93\xacConfigNotice\x01' + _BYTES_OF_4_GB,
        b'\x93\xa1a\x01\x92\xa4Acks' + _ARRAY_OF_4_BILLION,
        b'\x91' * 100_000,
        b'\x93\xa1a\x01' + b'\x91' * 100_000,
        b'\x81\xa1a' * 100_000,
    ],
)
def test_announced_sizes_and_deep_nesting_take_little_memory(
    encoded: bytes,
) -> None:
    tracemalloc.start()
    assert _decode(encoded) is None
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < _MAX_ALLOCATED_BYTES


def test_oversized_envelope_is_rejected_before_it_is_decoded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(codec, 'MAX_ENVELOPE_BYTES', 10)
    with pytest.raises(DecodeError, match='11 bytes, expected at most 10'):
        decode_envelope(b'x' * 11)
