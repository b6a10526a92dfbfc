"""Commands that validate, publish, roll back, export and audit versions."""

import asyncio
import json
from collections.abc import Coroutine
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from bergamotthread.cli import audit, publish
from bergamotthread.clock import Clock
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.registration import Registration
from standins.platform_runner import manifest

EXAMPLE = Path(__file__).parent.parent / 'examples/termolab/objects.json'
DAY_SHIFT = 'example-operator-day-shift-20'
COMMANDS = {
    command.name: command for command in (*publish.COMMANDS, *audit.COMMANDS)
}


class _Context:
    """Operator context with an in-memory platform and virtual time."""

    def __init__(self) -> None:
        self.platform = MemoryPlatform(Clock.from_system())
        self.credential = ''

    @property
    def clock(self) -> Clock:
        return Clock.from_loop(asyncio.get_running_loop())

    def table(self) -> MemoryTable:
        return MemoryTable(self.platform)

    def object_store(self) -> MemoryObjectStore:
        return MemoryObjectStore(self.platform)

    def run(self, action: Coroutine) -> object:
        return run_virtual(action)


@pytest.fixture
def context() -> _Context:
    return _Context()


def _invoke(context: _Context, *arguments: object) -> Result:
    name, *options = map(str, arguments)
    environment = {'BERGAMOTTHREAD_CREDENTIAL': DAY_SHIFT}
    return CliRunner(env=environment).invoke(
        COMMANDS[name],
        options,
        obj=context,
        catch_exceptions=False,
    )


def _edited(tmp_path: Path, **fields: object) -> Path:
    document = json.loads(EXAMPLE.read_bytes())
    document['teams'][0].update(fields)
    path = tmp_path / 'objects.json'
    path.write_text(json.dumps(document))
    return path


def test_validate_prints_all_problems(
    tmp_path: Path, context: _Context
) -> None:
    assert 'valid' in _invoke(context, 'validate', EXAMPLE).output
    path = _edited(tmp_path, weight=-1, home_region='x')
    result = _invoke(context, 'validate', path)
    assert result.exit_code == 2
    assert '$.teams[0].weight' in result.output
    assert 'valid: cuyo, litoral, pampa' in result.output


def test_publish_waits_until_in_force(
    tmp_path: Path, context: _Context
) -> None:
    first = _invoke(context, 'publish', EXAMPLE, '--base', 0)
    assert first.exit_code == 0
    assert 'version 1: accepted, in force everywhere' in first.output
    path = _edited(tmp_path, weight=2)
    assert 'weight: 4.0 -> 2.0' in _invoke(context, 'diff', path).output
    second = _invoke(context, 'publish', path, '--base', 1, '--note', 'less')
    assert '~ teams/rosario-gears.weight: 4.0 -> 2.0' in second.output
    again = _invoke(context, 'publish', path, '--base', 2)
    assert 'no changes; version 2 stays' in again.output
    output = _invoke(context, 'status').output
    assert 'version 2 by day-shift (less): teams/rosario-gears' in output


def test_conflict_names_the_operator_and_the_changed_object(
    tmp_path: Path, context: _Context
) -> None:
    _invoke(context, 'publish', EXAMPLE, '--base', 0)
    _invoke(context, 'publish', _edited(tmp_path, weight=2), '--base', 1)
    path = _edited(tmp_path, weight=3)
    result = _invoke(context, 'publish', path, '--base', 1)
    assert result.exit_code == 4
    assert 'version 2 by day-shift: teams/rosario-gears' in result.output


def _register(context: _Context) -> None:
    async def _record() -> None:
        place = PlaceSettings('10.0.0.1:7000', 'pampa', 'pampa-a')
        registration = Registration(context.table(), place, 1)
        await registration.record(1, 3_600_000)

    run_virtual(_record())


def test_publish_names_processes_where_it_is_not_in_force(
    tmp_path: Path,
    context: _Context,
) -> None:
    _invoke(context, 'publish', EXAMPLE, '--base', 0)
    _register(context)
    path = _edited(tmp_path, weight=2)
    published = _invoke(context, 'publish', path, '--base', 1)
    assert published.exit_code == 3
    expected = 'published, not yet in force in: pampa (10.0.0.1:7000)'
    assert expected in published.output
    result = _invoke(context, 'status', '--version', 2, '--timeout-s', 7200)
    assert 'region pampa: version 1 at 1 registered' in result.output
    assert result.exit_code == 0


def test_forget_host_unblocks_acceptance(
    tmp_path: Path,
    context: _Context,
) -> None:
    _invoke(context, 'publish', EXAMPLE, '--base', 0)
    _register(context)
    path = _edited(tmp_path, weight=2)
    _invoke(context, 'publish', path, '--base', 1, '--timeout-s', 0)
    result = _invoke(context, 'forget-host', '10.0.0.1:7000')
    assert '1 registrations removed' in result.output
    assert _invoke(context, 'status', '--version', 2).exit_code == 0
    assert 'forget_host' in _invoke(context, 'audit').output


def test_rollback_publishes_the_exported_earlier_set(
    tmp_path: Path, context: _Context
) -> None:
    _invoke(context, 'publish', EXAMPLE, '--base', 0)
    _invoke(context, 'publish', _edited(tmp_path, weight=2), '--base', 1)
    result = _invoke(context, 'rollback', 1, '--base', 2)
    assert 'published as version 3' in result.output
    exported = _invoke(context, 'export')
    assert exported.stderr == 'version 3\n'
    original = msgspec.json.decode(EXAMPLE.read_bytes(), type=ObjectSet)
    assert msgspec.json.decode(exported.stdout, type=ObjectSet) == original
    assert _invoke(context, 'rollback', 9, '--base', 3).exit_code == 1


def test_unknown_credential_publishes_nothing(context: _Context) -> None:
    arguments = ['publish', EXAMPLE, '--base', 0, '--credential', 'guess']
    result = _invoke(context, *arguments)
    assert result.exit_code == 1
    assert 'of no operator' in result.output
    assert context.platform.writes == 0


def test_credential_of_the_context_is_used(context: _Context) -> None:
    context.credential = DAY_SHIFT
    arguments = ['publish', EXAMPLE, '--base', 0, '--credential', '']
    assert _invoke(context, *arguments).exit_code == 0


def test_unknown_publication_outcome_exits_with_code_5(
    context: _Context,
) -> None:
    class _UnavailableTable(MemoryTable):
        async def write(self, key: str, body: bytes, *, expected: int) -> None:
            raise StoreUnavailableError('no answer', step='store')

    context.table = lambda: _UnavailableTable(context.platform)
    result = _invoke(context, 'publish', EXAMPLE, '--base', 0)
    assert result.exit_code == 5


def test_commands_fail_while_the_platform_is_down(context: _Context) -> None:
    context.platform.faults.down = True
    for arguments in (['status'], ['audit'], ['export']):
        result = _invoke(context, *arguments)
        assert result.exit_code == 1
        assert 'platform is down' in result.output


def test_audit_shows_publications(context: _Context) -> None:
    _invoke(context, 'publish', EXAMPLE, '--base', 0, '--note', 'first')
    result = _invoke(context, 'audit', '--verify')
    assert '0->1  day-shift' in result.output
    assert '1 records of 1 writers verified' in result.stderr
    line = _invoke(context, 'audit', '--json', '--kind', 'publish').output
    assert json.loads(line)['detail']['note'] == 'first'
    assert not _invoke(context, 'audit', '--kind', 'drain').output


def test_audit_verify_finds_an_altered_record(context: _Context) -> None:
    _invoke(context, 'publish', EXAMPLE, '--base', 0)
    [name] = [
        stored_name
        for stored_name in context.platform.bodies_by_name
        if stored_name.startswith('audit')
    ]
    body = context.platform.bodies_by_name[name]
    altered = body.replace(b'day-shift', b'night-shift')
    context.platform.bodies_by_name[name] = altered
    result = _invoke(context, 'audit', '--verify')
    assert result.exit_code == 6
    assert 'record 1 was altered' in result.output


def test_schema_has_every_kind_of_the_example(context: _Context) -> None:
    schema = json.loads(_invoke(context, 'schema').output)
    properties = schema['$defs']['ObjectSet']['properties']
    assert set(json.loads(EXAMPLE.read_bytes())) <= set(properties)


@pytest.mark.parametrize('name', sorted(COMMANDS))
def test_help_describes_each_command(name: str, context: _Context) -> None:
    assert len(_invoke(context, name, '--help').output) > 200


def _validate(context: _Context, path, form: str, document: object):
    path.write_text(json.dumps(document))
    return _invoke(context, 'validate', path, '--form', form)


def test_validate_checks_platform_manifest_and_settings(
    context: _Context, tmp_path: Path
) -> None:
    path = tmp_path / 'given.json'
    result = _validate(context, path, 'platform-manifest', manifest())
    assert result.exit_code == 0
    assert 'version 1, 5 routes' in result.output
    result = _validate(context, path, 'platform-manifest', {'version': 'x'})
    assert result.exit_code == 2
    assert '$.version' in result.output
    result = _validate(context, path, 'platform-settings', {'node_name': 'n'})
    assert result.exit_code == 2
    assert 'given.json' in result.output
    assert 'ip' in result.output


def test_validate_finds_invalid_and_duplicate_routes(
    context: _Context, tmp_path: Path
) -> None:
    document = manifest()
    document['routes'][0]['service'] = 'nobody'
    document['routes'][1]['path_prefix'] = '/odd'
    document['routes'].append(document['routes'][2])
    path = tmp_path / 'manifest.json'
    result = _validate(context, path, 'platform-manifest', document)
    assert result.exit_code == 2
    for part in ("'nobody', expected ", "'/odd'", 'stand there twice'):
        assert part in result.output
