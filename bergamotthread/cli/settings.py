"""Commands that check settings files and print their schemas."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import click
import msgspec

from bergamotthread.process.settings import AgentSettings, EntrySettings
from bergamotthread.process.settings_file import SettingsError, load_settings

EXIT_CODE_SETTINGS = 2

_Settings = TypeVar('_Settings', EntrySettings, AgentSettings)

_KIND_BY_ROLE: dict[str, type[EntrySettings] | type[AgentSettings]] = {
    'entry': EntrySettings,
    'agent': AgentSettings,
}
_ROLE = click.Choice(sorted(_KIND_BY_ROLE))


class SettingsClickError(click.ClickException):
    """Error that prints one line per problem and exits with code 2."""

    exit_code = EXIT_CODE_SETTINGS

    def __init__(self, messages: tuple[str, ...]) -> None:
        super().__init__('\n'.join(messages))


def load_settings_or_exit(path: Path, kind: type[_Settings]) -> _Settings:
    """Return the settings in a file after checking them.

    Raises
    ------
    SettingsClickError
        If there are problems; click prints them and exits with code 2.
    """
    try:
        return load_settings(path, kind)
    except SettingsError as error:
        raise SettingsClickError((str(error),)) from error
    except ExceptionGroup as group:
        messages = tuple(str(error) for error in group.exceptions)
        raise SettingsClickError(messages) from group


@click.command('check-settings')
@click.argument('path', type=click.Path(path_type=Path))
@click.option(
    '--role', type=_ROLE, required=True, help='Process that reads the file.'
)
def check_settings_command(path: Path, role: str) -> None:
    """Check a settings file without starting a process.

    Prints each problem with its JSON path and exits with code 2 if there is
    one. Only the file and the TLS files that it names are opened.
    """
    if role == 'entry':
        load_settings_or_exit(path, EntrySettings)
    else:
        load_settings_or_exit(path, AgentSettings)
    click.echo(f'{path}: valid settings of an {role}')


@click.command('settings-schema')
@click.option(
    '--role', type=_ROLE, required=True, help='Process that reads the file.'
)
def settings_schema_command(role: str) -> None:
    """Print the JSON Schema of a settings file, for editors."""
    schema = msgspec.json.schema(_KIND_BY_ROLE[role])
    encoded = msgspec.json.encode(schema)
    click.echo(msgspec.json.format(encoded))


COMMANDS: tuple[click.Command, ...] = (
    check_settings_command,
    settings_schema_command,
)
