"""Offline checks of the settings file and of the manifest."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from bergamotthread.errors import BergamotError, Step
from bergamotthread.platform.manifest import ManifestError, read_manifest
from bergamotthread.platform.settings import PlatformSettings
from bergamotthread.version.route_table import RouteTable


class PlatformCheckError(BergamotError):
    """A checked file is invalid; the message has one line for each fault."""


def check_settings_file(path: Path) -> str:
    """Check a settings file; return a one-line summary of it.

    Raises
    ------
    PlatformSettingsError
        If the file can't be read or decoded.
    """
    settings = PlatformSettings.from_file(path)
    return f'host {settings.host} in {settings.failure_domain}'


def check_manifest_file(path: Path) -> str:
    """Check a manifest; return a one-line summary of it.

    Raises
    ------
    PlatformCheckError
        If the file can't be read or decoded, or if a route names an unknown
        service, has a malformed prefix or has the host and prefix of another
        route.
    """
    table = load_manifest_file(path)
    return f'version {table.version}, {len(table.routes)} routes'


def load_manifest_file(path: Path) -> RouteTable:
    """Return the route table of a manifest that has no errors.

    Raises
    ------
    PlatformCheckError
        As `check_manifest_file` does.
    """
    try:
        table, invalid_fields = read_manifest(path.read_bytes())
    except OSError as error:
        raise _check_error(path, (str(error),)) from error
    except ManifestError as error:
        raise _check_error(path, error.faults) from error
    faults = (*invalid_fields, *_find_faults(table))
    if faults:
        raise _check_error(path, faults)
    return table


def _find_faults(table: RouteTable) -> Iterator[str]:
    seen_prefixes: set[tuple[bytes, bytes]] = set()
    for number, route in enumerate(table.routes):
        location = f'$.routes[{number}]'
        prefix = route.path_prefix.decode()
        if not (prefix.startswith('/') and prefix.endswith('/')):
            yield (
                f'{location}.path_prefix: {prefix!r}, expected a slash at the '
                'start and at the end'
            )
        if (route.host, route.path_prefix) in seen_prefixes:
            yield f'{location}: host and prefix {prefix!r} stand there twice'
        seen_prefixes.add((route.host, route.path_prefix))


def _check_error(path: Path, faults: tuple[str, ...]) -> PlatformCheckError:
    lines = '\n'.join(f'{path}: {fault}' for fault in faults)
    return PlatformCheckError(lines, step=Step.CHECK)
