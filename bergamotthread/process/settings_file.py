"""Read and check settings files."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.settings import AgentSettings, EntrySettings
from bergamotthread.process.settings_checks import check_settings
from bergamotthread.process.store.document import Problem, find_problems

MAX_FILE_BYTES = 1_048_576

_Settings = TypeVar('_Settings', EntrySettings, AgentSettings)


class SettingsError(BergamotError):
    """Invalid settings; names the file, JSON path, value and expectation."""

    @classmethod
    def from_problem(cls, path: Path, problem: Problem) -> SettingsError:
        """Return the error for one problem in a file."""
        return cls(
            f'{path}: {problem.path}: {problem.found}, '
            f'expected {problem.expected}',
            step=Step.SETTINGS,
        )


def load_settings(path: Path, kind: type[_Settings]) -> _Settings:
    """Return the settings in a JSON file after checking them.

    Raises
    ------
    SettingsError
        If exactly one problem is found.
    ExceptionGroup
        Of `SettingsError`, if several problems are found.
    """
    return parse_settings(_read(path), kind, path=path)


def parse_settings(
    encoded: bytes,
    kind: type[_Settings],
    *,
    path: Path,
) -> _Settings:
    """Return the settings in JSON text read from `path`, checked.

    Raises
    ------
    SettingsError
        If exactly one problem is found.
    ExceptionGroup
        Of `SettingsError`, if several problems are found.
    """
    document = _decode(encoded, path)
    _raise_if_any(path, find_problems(document, kind))
    settings = msgspec.convert(document, kind)
    _raise_if_any(path, check_settings(settings))
    return settings


def _read(path: Path) -> bytes:
    try:
        with path.open('rb') as opened:
            return opened.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(
            f'{path}: cannot be read: {error.strerror}, '
            'expected a JSON file with settings',
            step=Step.SETTINGS,
        ) from error


def _decode(encoded: bytes, path: Path) -> object:
    if len(encoded) > MAX_FILE_BYTES:
        found = f'more than {MAX_FILE_BYTES} bytes'
        expected = f'at most {MAX_FILE_BYTES} bytes'
        raise _single(path, Problem('$', found, expected))
    try:
        return msgspec.json.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _single(path, Problem('$', str(error), 'JSON text')) from error


def _single(path: Path, problem: Problem) -> SettingsError:
    return SettingsError.from_problem(path, problem)


def _raise_if_any(path: Path, problems: tuple[Problem, ...]) -> None:
    errors = [SettingsError.from_problem(path, problem) for problem in problems]
    match errors:
        case []:
            return
        case [error]:
            raise error
        case _:
            raise ExceptionGroup(
                f'{path}: {len(errors)} problems in the settings', errors
            )
