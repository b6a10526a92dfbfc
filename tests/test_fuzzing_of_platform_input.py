"""Any bytes of upstreams, of the store and of other entries are understood.

Or they are refused with a clear error, without a crash.
"""

from __future__ import annotations

import json
import math

from hypothesis import example, given
from hypothesis import strategies as st

from bergamotthread.connection.event_buffer import (
    EVENT_BYTES_MAX,
    EventTooLongError,
)
from bergamotthread.platform.manifest import ManifestError, read_manifest
from bergamotthread.platform.runner_rows import decode_report, decode_runner
from bergamotthread.request.relay.events import (
    EventSplitter,
)
from tests.platform_standins import manifest

_EVENTS = (
    b'id: 1\ndata: a\n\n: alive\n\nid: 2\r\ndata: b\r\n\r\n'
    b'data: c\nid: 3\n\nid: x\ndata: d\n\n'
)
_ROW = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'a-1',
    'state': 'ready',
    'slots': 4,
    'born': 5,
    'version': '1',
}
_REPORT = {
    'queue_depth': 1,
    'in_flight': 2,
    'kv_used': 3,
    'kv_total': 4,
    'handles': 0,
    'runs': [['r', 1, 2, 0]],
    'born': 5,
}
_MANIFEST = json.loads(json.dumps(manifest()))
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from((2**63, -(2**64), 10**400))
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def _changed(known: dict[str, object]) -> st.SearchStrategy[bytes]:
    """Return an object with one field changed, or with bytes changed."""
    encoded = json.dumps(known).encode()
    field = st.tuples(st.sampled_from(sorted(known)), _JSON).map(
        lambda one: json.dumps({**known, one[0]: one[1]}).encode()
    )
    byte = st.tuples(
        st.integers(0, len(encoded) - 1), st.binary(max_size=3)
    ).map(lambda one: encoded[: one[0]] + one[1] + encoded[one[0] + 1 :])
    return field | byte | st.binary(max_size=60)


def _feed(pieces: list[bytes]) -> list[tuple[bytes, int | None]]:
    splitter = EventSplitter()
    return [
        (event.payload, event.event_id)
        for piece in pieces
        for event in splitter.feed(piece)
    ]


def test_events_cut_at_every_byte_are_the_same():
    whole = _feed([_EVENTS])
    assert [number for _, number in whole] == [1, None, 2, 3, None]
    for cut in range(len(_EVENTS) + 1):
        assert _feed([_EVENTS[:cut], _EVENTS[cut:]]) == whole
    assert _feed([_EVENTS[at : at + 1] for at in range(len(_EVENTS))]) == whole


@given(st.lists(st.binary(max_size=40) | st.just(b'\n\n'), max_size=12))
@example([b'id: ' + b'1' * 5000 + b'\n\n'])
def test_any_bytes_are_events_or_a_clear_error(pieces):
    splitter = EventSplitter()
    sent = b''.join(pieces)
    try:
        events = [event for one in pieces for event in splitter.feed(one)]
    except EventTooLongError:
        return
    assert sent.startswith(b''.join(event.payload for event in events))


def test_event_without_end_is_refused_before_it_fills_the_memory():
    splitter = EventSplitter()
    kept = 0
    try:
        while kept <= 2 * EVENT_BYTES_MAX:
            splitter.feed(b'x' * 65_536)
            kept += 65_536
    except EventTooLongError as error:
        assert 'expected at most' in str(error)
    assert kept <= EVENT_BYTES_MAX


@given(_changed(_ROW))
@example(json.dumps({**_ROW, 'address': '10.0.0.1:' + '1' * 5000}).encode())
@example(json.dumps({**_ROW, 'address': '10.0.0.1:\u0668\u0660'}).encode())
def test_any_row_is_a_runner_or_none(encoded):
    record = decode_runner('i', encoded)
    if record is not None:
        host, _, port = record.address.rpartition(':')
        assert host
        assert port.isascii()
        assert 0 < int(port) < 65_536
        assert record.slots >= 0


@given(_changed(_REPORT))
def test_any_load_report_is_read_or_none(encoded):
    report = decode_report(encoded, 1)
    if report is not None:
        assert report.unread_tokens >= 0
        assert report.queued >= 0


@given(_changed(_MANIFEST))
def test_any_manifest_is_a_table_or_names_its_faults(encoded):
    try:
        table, faults = read_manifest(encoded)
    except ManifestError as error:
        assert all(error.faults)
        return
    assert all('expected' in fault for fault in faults)
    assert all(math.isfinite(one.timeout_ms) for one in table.routes)


def test_what_is_changed_is_valid_before():
    assert decode_runner('i', json.dumps(_ROW).encode())
    assert decode_report(json.dumps(_REPORT).encode(), 1)
    assert read_manifest(json.dumps(_MANIFEST).encode())[1] == ()
