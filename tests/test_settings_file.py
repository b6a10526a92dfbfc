"""Invalid settings files raise errors that name path, value and expectation.

Errors show the length of an invalid key instead of the key.
"""

import json
from pathlib import Path

import pytest
import zmq
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.cli.settings import COMMANDS
from bergamotthread.process.settings import AgentSettings, EntrySettings
from bergamotthread.process.settings_file import (
    SettingsError,
    load_settings,
    parse_settings,
)

_EXAMPLES = Path(__file__).parent.parent / 'examples'
_PATH = Path('entry.json')
_PUBLIC, _SECRET = (key.decode() for key in zmq.curve_keypair())
_CHECK, _SCHEMA = COMMANDS


def _entry(**changes: object) -> dict[str, object]:
    document = json.loads((_EXAMPLES / 'entry.json').read_bytes())
    return {**document, **changes}


def _parse(document: object) -> EntrySettings:
    encoded = json.dumps(document).encode()
    return parse_settings(encoded, EntrySettings, path=_PATH)


@pytest.mark.parametrize(
    ('name', 'kind'),
    [('entry.json', EntrySettings), ('agent.json', AgentSettings)],
)
def test_examples_load(
    name: str, kind: type[EntrySettings] | type[AgentSettings]
) -> None:
    settings = load_settings(_EXAMPLES / name, kind)
    assert settings.place.region == 'cuyo'


@pytest.mark.parametrize(
    ('changes', 'message'),
    [
        ({'lisen': 1}, "$.lisen: field 'lisen', expected 'listen'"),
        ({'listen': 'localhost:80'}, '$.listen: "localhost:80", expected an'),
        ({'listen': '127.0.0.1:99999'}, 'a port from 0 to 65535'),
        ({'listen': '127.0.0.1:0'}, 'a port from 1 to 65535'),
        ({'listen': '127.0.0.1'}, 'a port after the IP number'),
        ({'listen': 7}, '$.listen: 7, expected `str`, got `int`'),
        ({'listen': None}, '$.listen: null, expected `str`'),
        ({'place': []}, '$.place: [], expected `object`'),
        ({'peers': ['127.0.0.1:1', 2]}, '$.peers[1]: '),
        ({'peers': ['127.0.0.1:1', 'a:2']}, '$.peers[1]: "a:2", expected an'),
        ({'platform': {}}, '$.platform.address: (missing), expected this'),
        ({'limits': {'body_bytes': 0}}, '$.limits.body_bytes: 0, expected'),
        ({'log': {'format': 'xml'}}, '$.log.format: "xml"'),
        ({'keys': {'curve_public': 'abc'}}, '$.keys.curve_public: (3 char'),
        ({'keys': {'curve_secret': _SECRET}}, '$.keys.curve_public: (0 char'),
        (
            {'keys': {'curve_public': _SECRET, 'curve_secret': _SECRET}},
            'the public key of $.keys.curve_secret',
        ),
        ({'keys': {'cursor_keys': ['ab']}}, '$.keys.cursor_keys[0]: (2 char'),
        ({'keys': {'tls_key_file': 'x'}}, '$.keys.tls_certificate_file: ""'),
    ],
)
def test_errors_name_path_value_and_expectation(
    changes: dict[str, object], message: str
) -> None:
    with pytest.raises((SettingsError, ExceptionGroup)) as caught:
        _parse(_entry(**changes))
    group = getattr(caught.value, 'exceptions', (caught.value,))
    texts = [str(error) for error in group]
    assert any(message in text for text in texts), texts
    assert all('entry.json' in text for text in texts)
    assert _SECRET not in ''.join(texts) or 'public key of' in message


def test_all_problems_are_reported_together() -> None:
    document = _entry(lisen=1, peers=3, limits={'bodybytes': 2})
    with pytest.raises(ExceptionGroup) as caught:
        _parse(document)
    paths = [str(error).split(': ')[2] for error in caught.value.exceptions]
    assert paths == ['$.lisen', '$.limits.bodybytes', '$.peers']


@pytest.mark.parametrize(
    ('keys', 'missing'),
    [
        ({}, ['curve_public', 'tls_certificate_file', 'cursor_keys']),
        (
            {'curve_public': _PUBLIC, 'curve_secret': _SECRET},
            ['tls_certificate_file', 'cursor_keys'],
        ),
    ],
)
def test_address_off_loopback_requires_keys(
    keys: dict[str, str], missing: list[str]
) -> None:
    place = {'address': '10.0.0.1:7', 'region': 'r', 'failure_domain': 'f'}
    document = _entry(place=place, listen='10.0.0.1:8', keys=keys)
    with pytest.raises(ExceptionGroup) as caught:
        _parse(document)
    texts = [str(error) for error in caught.value.exceptions]
    assert [text.split('$.keys.')[1].split(':')[0] for text in texts] == missing
    assert _parse({**document, 'allow_without_keys': True}).listen


@pytest.mark.parametrize('encoded', [b'', b'{', b'\xff', b'[' * 5000, b'1'])
def test_invalid_documents_raise_a_settings_error(encoded: bytes) -> None:
    with pytest.raises(SettingsError):
        parse_settings(encoded, EntrySettings, path=_PATH)


def test_file_above_the_size_limit_is_refused(tmp_path: Path) -> None:
    path = tmp_path / 'large.json'
    path.write_bytes(b' ' * 2_000_000)
    with pytest.raises(SettingsError, match='at most 1048576 bytes'):
        load_settings(path, EntrySettings)


def test_command_prints_a_line_per_problem_and_exits_with_code_2(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'bad.json'
    path.write_text(json.dumps(_entry(lisen=1, peers=3)))
    result = CliRunner().invoke(_CHECK, [str(path), '--role', 'entry'])
    assert result.exit_code == 2
    assert len(result.output.splitlines()) == 2
    missing = CliRunner().invoke(_CHECK, ['missing', '--role', 'agent'])
    assert (missing.exit_code, 'cannot be read' in missing.output) == (2, True)


def test_printed_schema_lists_the_fields() -> None:
    result = CliRunner().invoke(_SCHEMA, ['--role', 'agent'])
    schema = json.loads(result.output)
    properties = schema['$defs']['AgentSettings']['properties']
    assert 'flush_interval_ms' in properties


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(
    name=st.sampled_from([*_entry(), 'keys', 'limits', 'other']), found=_JSON
)
def test_any_value_gives_settings_or_a_clear_error(
    name: str, found: object
) -> None:
    try:
        _parse(_entry(**{name: found}))
    except* SettingsError as group:
        assert all('entry.json: $' in str(one) for one in group.exceptions)


@given(encoded=st.binary(max_size=200))
def test_any_bytes_give_a_clear_error(encoded: bytes) -> None:
    with pytest.raises((SettingsError, ExceptionGroup)):
        parse_settings(encoded, EntrySettings, path=_PATH)
