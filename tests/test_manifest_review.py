"""Review of a manifest before it is sent, and its command."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from bergamotthread.cli.main import main
from bergamotthread.platform.manifest import decode_manifest
from bergamotthread.platform.manifest_review import review_manifest
from standins.platform_runner import MODEL, PLAIN, manifest, route_of


def _table(**changes: object):
    return decode_manifest(json.dumps(manifest(**changes)).encode())


def _route(prefix: str = '/new/', kind: str = 'idempotent', **more: object):
    service = MODEL if kind == 'streaming' else PLAIN
    more.setdefault('max_attempts', 3)
    return route_of(prefix, kind, service, **more)


def test_sound_manifest_has_no_doubts():
    assert not review_manifest(_table()).doubts


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        (
            {'routes': (_route(host='h.example:80'),)},
            "$.routes[5].host: 'h.example:80' matches no request",
        ),
        ({'tenants': []}, '$.routes[0]: no key exists'),
        (
            {'services': [{'name': MODEL}, {'name': PLAIN}, {'name': 'idle'}]},
            "$.services: no route leads to 'idle'",
        ),
        (
            {
                'tenants': [
                    {'name': 'a', 'api_keys': ['k']},
                    {'name': 'b', 'api_keys': [], 'priority': 0},
                ]
            },
            "$.tenants: 'b' has a priority and no key",
        ),
        (
            {'routes': (_route(timeout_ms=500, target_latency_ms=900),)},
            '$.routes[5].target_latency_ms: 900 is more than timeout_ms, 500',
        ),
        (
            {'routes': (_route(gap_target_ms=700),)},
            '$.routes[5].gap_target_ms: the route has no streams',
        ),
        (
            {
                'routes': (
                    _route(
                        kind='streaming', stream_resume=True, max_attempts=1
                    ),
                )
            },
            '$.routes[5].stream_resume: with max_attempts 1',
        ),
        (
            {'limits': {'header_timeout_ms': 9000, 'idle_timeout_ms': 8000}},
            '$.limits.header_timeout_ms: 9000 is more than idle_timeout_ms',
        ),
    ],
)
def test_doubt_names_the_path_the_value_and_what_follows(changes, expected):
    [first, *_] = review_manifest(_table(**changes)).doubts
    assert first.startswith(expected)


def test_changes_are_those_from_the_version_in_force():
    former = _table(keys=('k1', 'k2'))
    table = _table(
        version=2,
        keys=('k1', 'k3', 'k4'),
        routes=(_route(timeout_ms=500, target_latency_ms=100),),
        limits={'max_body_bytes': 1000},
    )
    review = review_manifest(table, former)
    assert review.changes == (
        'version 1 -> 2',
        '+ route h.example/new/',
        '~ limits body_bytes: 4194304 -> 1000',
        '+ 2 keys of team-one',
        '- 1 keys of team-one',
    )
    assert not review.doubts


def _write(path: Path, **changes: object) -> str:
    path.write_text(json.dumps(manifest(**changes)))
    return str(path)


def test_exit_codes_are_for_scripts(tmp_path):
    old = _write(tmp_path / 'old.json', version=3)
    new = _write(tmp_path / 'new.json', version=4)
    bad = _write(tmp_path / 'bad.json', version='x')
    calls = {
        (new, '--in-force', old): 0,
        (new,): 0,
        (old, '--in-force', new): 6,
        (bad,): 2,
        (new, '--in-force', bad): 1,
        (new, '--store', '127.0.0.1:1'): 1,
    }
    for arguments, code in calls.items():
        result = CliRunner().invoke(main, ['review', *arguments])
        assert result.exit_code == code, (arguments, result.output)


def test_keys_are_never_printed(tmp_path):
    old = _write(tmp_path / 'old.json', keys=('secret-one',))
    new = _write(tmp_path / 'new.json', version=2, keys=('secret-two',))
    result = CliRunner().invoke(main, ['review', new, '--in-force', old])
    assert result.exit_code == 0
    assert 'secret' not in result.output
