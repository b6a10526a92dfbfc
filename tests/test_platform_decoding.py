"""Decoding of the platform's manifest, rows, reports and settings."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from bergamotthread.platform.headers import PLATFORM_DIALECT
from bergamotthread.platform.manifest import ManifestError, decode_manifest
from bergamotthread.platform.runner_rows import (
    TYPICAL_PROMPT_TOKENS,
    decode_report,
    decode_runner,
)
from bergamotthread.platform.settings import (
    PlatformSettings,
    PlatformSettingsError,
)
from bergamotthread.process.relay.upstreams import UpstreamState
from bergamotthread.version.route_table import Repeatability
from standins.platform_runner import PLAIN, manifest, route_of
from standins.platform_settings import entry_settings
from tests.platform_standins import settings

PACKAGE = Path(__file__).parent.parent / 'bergamotthread'
# Names of the platform's API that only the adapter may use.
WIRE_NAMES = re.compile(
    r'/api/|rows-(get|feed|tx)|kv-(move|from|fetch|backup)|route_type'
    r'|traffic_split|stream_resume|gap_target_ms|queue_depth|auth_exempt'
    r'|not-executed|response-seal|expect-instance|tenant|expected_rev'
    r'|bergamotthread-(request|deadline|token|model)'
)


def _modules():
    for path in sorted(PACKAGE.rglob('*.py')):
        if 'platform' not in path.relative_to(PACKAGE).parts[:1]:
            yield path


def test_wire_names_stay_in_the_adapter():
    found = [
        f'{path.relative_to(PACKAGE)}: {match.group()}'
        for path in _modules()
        if (match := WIRE_NAMES.search(path.read_text().lower()))
    ]
    assert found == []


def test_the_search_for_wire_names_finds_them_in_the_adapter():
    text = ''.join(
        path.read_text().lower() for path in (PACKAGE / 'platform').glob('*.py')
    )
    assert len(set(WIRE_NAMES.findall(text))) > 1


def _table(**overrides):
    return decode_manifest(json.dumps(manifest(**overrides)).encode())


def test_route_type_decides_which_requests_may_be_retried():
    by_name = {route.name: route for route in _table().routes}
    assert by_name['/stream/'].repeatability is Repeatability.RESUMABLE
    assert by_name['/once-stream/'].repeatability is Repeatability.NEVER
    assert by_name['/once/'].repeatability is Repeatability.NEVER
    assert by_name['/any/'].repeatability is Repeatability.ANY_TIME
    assert not by_name['/open/'].needs_key
    assert by_name['/stream/'].is_stream


SERVICES = ('model-service', 'plain-service', 'x', 'y')


def test_longest_prefix_of_the_host_wins():
    nested = {
        'name': 'nested',
        'host': 'H.example',
        'path_prefix': '/any/deep/',
        'route_type': 'idempotent',
        'traffic_split': [
            {'service': 'x', 'weight': 0},
            {'service': 'y', 'weight': 3},
        ],
    }
    table = _table(
        routes=[nested], services=[{'name': name} for name in SERVICES]
    )
    assert table.match(b'h.example:80', b'/any/deep/x?q').name == 'nested'
    assert table.match(b'h.example', b'/any/deepx').name == '/any/'
    assert table.match(b'other', b'/any/x') is None
    assert table.match(b'h.example', b'/any') is None
    services = table.match(b'h.example', b'/any/deep/').services
    assert [weighted.service for weighted in services] == ['y']


def test_keys_map_to_teams_and_no_key_is_required_without_teams():
    assert _table(keys=('k1', 'k2')).team_by_key == {
        b'k1': 'team-one',
        b'k2': 'team-one',
    }
    without_tenants = manifest()
    del without_tenants['tenants']
    assert (
        decode_manifest(json.dumps(without_tenants).encode()).team_by_key
        is None
    )


@pytest.mark.parametrize(
    'change, place',
    [
        ({'version': 'x'}, r'\$\.version'),
        ({'routes': [{'host': 5}]}, r'\$\.routes\[0\]\.host'),
        ({'limits': {'max_body_bytes': 'x'}}, r'\$\.limits\.max_body_bytes'),
        (
            {'limits': {'idle_timeout_ms': 0}},
            r'\$\.limits\.idle_timeout_ms is 0, expected more than 0',
        ),
        (
            {'services': [{'name': 'model-service'}]},
            r"\$\.routes\[2\]: service 'plain-service', expected "
            r"\['model-service'\]",
        ),
        (
            {'routes': [route_of('/x/', 'idempotent', PLAIN, timeout_ms=0)]},
            r'\$\.routes\[0\]\.timeout_ms is 0, expected more than 0',
        ),
        (
            {
                'routes': [
                    route_of('/x/', 'idempotent', PLAIN, target_latency_ms=-1)
                ]
            },
            r'\$\.routes\[0\]\.target_latency_ms is -1',
        ),
    ],
)
def test_manifest_error_names_the_path_of_the_field(change, place):
    invalid = {**manifest(), **change}
    with pytest.raises(ManifestError, match=place):
        decode_manifest(json.dumps(invalid).encode())


def test_unknown_fields_of_a_manifest_are_ignored():
    assert _table(surprise={'a': 1}).version == 1


def _row(**overrides):
    row = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a-1',
        'state': 'ready',
        'born': 7,
        **overrides,
    }
    return json.dumps(row).encode()


def test_runner_row_decodes_to_an_upstream():
    record = decode_runner('i-1', _row(state='draining'))
    assert record.failure_domain == 'a-1'
    assert record.state is UpstreamState.DRAINING
    assert record.started_ms == 7


@pytest.mark.parametrize(
    'encoded',
    [
        b'\xff',
        b'[]',
        _row(state='odd'),
        _row(state=None),
        _row(address=5),
        _row(address='nowhere'),
        _row(address='no.such.name:80'),
        _row(address='10.0.0.1:99999'),
        _row(address='10.0.0.1:0'),
        _row(address='10.0.0.1:'),
        _row(slots=10**400),
        _row(born=-1),
        _row(service=''),
        b'{"service":"s"}',
    ],
)
def test_invalid_runner_row_is_ignored(encoded):
    assert decode_runner('i-1', encoded) is None


def _report(**fields):
    return decode_report(json.dumps(fields).encode(), 5)


def test_unread_prompt_tokens_follow_from_the_load_report():
    running = [['r1', 9000, 12, 5]]
    idle = _report(in_flight=1, kv_used=9000, runs=running)
    assert idle.unread_tokens == 0
    reading = _report(in_flight=2, kv_used=14_000, runs=running)
    assert reading.unread_tokens == 5000
    queued = _report(in_flight=1, kv_used=9000, runs=running, queue_depth=2)
    assert queued.unread_tokens == 2 * TYPICAL_PROMPT_TOKENS
    with_copies = _report(in_flight=1, kv_used=60_000, handles=3)
    assert with_copies.unread_tokens == TYPICAL_PROMPT_TOKENS


def test_invalid_load_report_is_ignored():
    assert decode_report(b'{"in_flight":"x"}', 5) is None


def test_settings_file_of_an_entry_is_decoded():
    decoded = settings('edge-b-1', 'b-1', 3)
    assert decoded.region == 'b'
    assert decoded.front == '10.1.0.3:8000'
    assert decoded.stop_grace_ms == 8000
    assert decoded.revoke_bound_ms == 5000
    assert decoded.peer_port == decoded.metrics_port + 1


def test_settings_error_names_the_file_and_the_field(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text('{"node_name": 5}')
    with pytest.raises(PlatformSettingsError, match=r'node\.json.*node_name'):
        PlatformSettings.from_file(path)
    with pytest.raises(PlatformSettingsError, match='missing'):
        PlatformSettings.from_file(tmp_path / 'missing.json')


def test_callers_may_not_set_the_header_fields_of_the_entry():
    dialect = PLATFORM_DIALECT
    for name in (
        dialect.remaining_ms,
        dialect.expected_instance,
        dialect.team,
        dialect.copy_target,
        dialect.copy_source,
    ):
        assert name in dialect.set_by_entry


@pytest.mark.parametrize(
    ('name', 'number', 'expected'),
    [
        ('grace_s', 0, 'more than 0'),
        ('budget_window_s', -1, 'more than 0'),
        ('revoke_ms', 0, 'more than 0'),
        ('retry_budget_slack', -1, '0 or more'),
    ],
)
def test_bound_out_of_range_is_named(tmp_path, name, number, expected):
    content = entry_settings('edge-a-1', '10.1.0.1', 'a-1', '10.2.0.1:8000')
    content['bounds'][name] = number
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(content))
    place = rf'{number} at `\$\.bounds\.{name}`, expected {expected}'
    with pytest.raises(PlatformSettingsError, match=place):
        PlatformSettings.from_file(path)


def test_removed_keys_need_no_bound_where_they_may_be_served():
    content = entry_settings('edge-a-1', '10.1.0.1', 'a-1', '10.2.0.1:8000')
    content['bounds'].update(revoke_ms=0, revoke_everywhere=False)
    decoded = PlatformSettings.from_json(json.dumps(content).encode())
    assert decoded.revoke_bound_ms is None
