import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.errors import Step
from bergamotthread.version.checks import (
    ObjectsError,
    check_object_set,
    decode_object_set,
    load_object_set,
)
from bergamotthread.version.objects import KINDS, ObjectSet

EXAMPLES = Path(__file__).parent.parent / 'examples'
EXAMPLE_FILES = sorted(EXAMPLES.glob('*/objects.json'))
MISSING = object()


def _document() -> dict:
    return json.loads((EXAMPLES / 'termolab/objects.json').read_bytes())


def _faults(document: dict) -> dict[str, str]:
    with pytest.raises(ObjectsError) as caught:
        check_object_set(decode_object_set(json.dumps(document).encode()))
    assert all(error.step is Step.CHECK for error in caught.value.exceptions)
    faults = [error.fault for error in caught.value.exceptions]
    return {fault.path: fault.expected for fault in faults}


@pytest.mark.parametrize(
    'path', EXAMPLE_FILES, ids=lambda path: path.parent.name
)
def test_examples_are_valid(path: Path) -> None:
    assert load_object_set(path).upstreams


def test_there_are_two_examples() -> None:
    assert len(EXAMPLE_FILES) == 2


@pytest.mark.parametrize(
    ('kind', 'at', 'field', 'value', 'path', 'expected'),
    [
        ('regions', 0, 'egress_price_per_gb', -1, '', 'from 0'),
        ('failure_domains', 0, 'region', 'x', '', 'valid: cuyo, litoral'),
        ('teams', 1, 'name', 'rosario-gears', '', 'already used at $.teams[0]'),
        ('teams', 0, 'name', '', '', '1 to 100 letters'),
        ('teams', 0, 'weight', 0, '', 'above 0'),
        ('teams', 0, 'requests_per_s', -2, '', 'above 0'),
        ('teams', 0, 'concurrent_generations', 0, '', 'from 1'),
        ('teams', 0, 'home_region', 'x', '', 'not found in regions'),
        ('teams', 0, 'credential_hashes', ['ab'], '[0]', 'SHA-256'),
        ('models', 0, 'versions', [], '', 'at least one'),
        ('models', 0, 'context_tokens', 0, '', 'from 1'),
        ('services', 0, 'deadline_ms', 0, '', 'above 0'),
        ('routes', 0, 'service', 'x', '', 'valid: anomalies, portal'),
        ('routes', 0, 'model', 'x', '', 'valid: furnace-log'),
        ('routes', 0, 'version', 'x', '', 'valid of furnace-log: 2026-06'),
        ('routes', 0, 'adapter', 'x', '', 'valid of furnace-log: quench'),
        ('routes', 0, 'teams', ['x'], '[0]', 'not found in teams'),
        ('routes', 0, 'fallback', 'x', '', 'not found in routes'),
        ('routes', 0, 'fallback', 'portal', '', 'route of the service'),
        ('routes', 1, 'fallback', 'anomalies', '', 'cycle'),
        ('routes', 2, 'model', 'furnace-log', '', 'service is plain'),
        ('upstreams', 0, 'agent', 'runner:7100', '', 'not a name'),
        ('upstreams', 0, 'agent', '10.0.0.1', '', 'not a name'),
        ('upstreams', 0, 'agent', '10.0.0.1:0', '', '1 to 65535'),
        ('upstreams', 1, 'agent', '10.20.1.10:7100', '', 'already used at'),
        ('upstreams', 0, 'failure_domain', 'x', '', 'not found in failure_dom'),
        ('upstreams', 0, 'max_running', -1, '', 'from 0'),
    ],
)
def test_fault_has_path_and_expectation(
    kind: str,
    at: int,
    field: str,
    value: object,
    path: str,
    expected: str,
) -> None:
    document = _document()
    document[kind][at][field] = value
    faults = _faults(document)
    path = f'$.{kind}[{at}].{field}{path}'
    if 'cycle' in expected:
        path = '$.routes[0].fallback'
    assert expected in faults[path]


@pytest.mark.parametrize(
    ('stop', 'field'),
    [
        ({'address': 'host:1', 'start_ms': 1, 'deadline_ms': 2}, 'address'),
        (
            {'address': '10.0.0.1:1', 'start_ms': 3, 'deadline_ms': 2},
            'deadline_ms',
        ),
    ],
)
def test_stops_are_checked(stop: dict, field: str) -> None:
    document = _document()
    document['stops'] = [{'name': 'stop', **stop}]
    assert list(_faults(document)) == [f'$.stops[0].{field}']


def test_credential_of_two_owners_is_a_fault() -> None:
    document = _document()
    digest = document['teams'][3]['credential_hashes'][0]
    document['operators'][1]['credential_hashes'] = [digest]
    [(path, expected)] = _faults(document).items()
    assert path == '$.operators[1].credential_hashes[0]'
    assert expected.endswith('$.teams[3].credential_hashes[0]')


def test_unreachable_and_zero_capacity() -> None:
    document = _document()
    for upstream in document['upstreams']:
        if 'models' in upstream:
            upstream['max_running'] = 0
    document['upstreams'] = [
        kept for kept in document['upstreams'] if 'models' in kept
    ]
    faults = _faults(document)
    assert 'zero capacity' in faults['$.routes[0]']
    assert 'unreachable' in faults['$.routes[2]']


def test_service_without_route_and_shadowed_route() -> None:
    document = _document()
    document['routes'][2] = {**document['routes'][1], 'name': 'again'}
    faults = _faults(document)
    assert 'no route leads' in faults['$.services[1]']
    assert 'takes the same requests' in faults['$.routes[2]']


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    document = _document()
    document['teams'][0]['weight'] = -1
    document['routes'][0]['fallback'] = 'nowhere'
    path = tmp_path / 'objects.json'
    path.write_text(json.dumps(document))
    with pytest.raises(ObjectsError) as caught:
        load_object_set(path)
    messages = [str(one) for one in caught.value.exceptions]
    assert all(str(path) in one for one in messages)
    assert any("'nowhere'" in one for one in messages)
    assert [one.fault.path for one in caught.value.exceptions] == [
        '$.teams[0].weight',
        '$.routes[0].fallback',
        '$.routes[1]',
    ]


@pytest.mark.parametrize(
    ('encoded', 'path', 'shown'),
    [
        (b'{"teams": [{"name": "a", "wieght": 2}]}', '$.teams[0]', 'wieght'),
        (b'{"teams": [{"name": 3}]}', '$.teams[0].name', '3'),
        (b'{"team": []}', '$', 'team'),
        (b'{"teams": [', '$', 'truncated'),
        (b'\xff', '$', 'invalid'),
        (b'[' * 100_000, '$', '[[['),
    ],
)
def test_decode_error_names_path(encoded: bytes, path: str, shown: str) -> None:
    with pytest.raises(ObjectsError) as caught:
        decode_object_set(encoded, source='objects.json')
    [error] = caught.value.exceptions
    assert error.fault.path == path
    assert shown in str(error)
    assert 'objects.json' in str(error)


def test_unreadable_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(ObjectsError, match='objects cannot be read'):
        load_object_set(tmp_path / 'missing.json')


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(st.binary() | _JSON.map(lambda document: json.dumps(document).encode()))
def test_decoder_gives_nothing_but_a_clear_error(encoded: bytes) -> None:
    try:
        decode_object_set(encoded)
    except ObjectsError as group:
        assert all(one.fault.expected for one in group.exceptions)


@given(st.data())
def test_check_of_a_damaged_set_gives_nothing_but_faults(
    data: st.DataObject,
) -> None:
    document = _document()
    kinds = [kind for kind in KINDS if document[kind]]
    objects = document[data.draw(st.sampled_from(kinds))]
    one = data.draw(st.sampled_from([*objects, document]))
    field = data.draw(st.sampled_from(sorted(one)))
    one[field] = data.draw(_JSON)
    encoded = json.dumps(document).encode()
    try:
        object_set = decode_object_set(encoded)
        check_object_set(object_set)
    except ObjectsError:
        return
    again = msgspec.json.encode(object_set)
    assert msgspec.json.decode(again, type=ObjectSet) == object_set
