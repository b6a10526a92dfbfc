"""Offline checks of what the platform gives a process."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from bergamotthread.errors import BergamotError, Step
from bergamotthread.platform.manifest import decode_manifest
from bergamotthread.platform.settings import PlatformSettings
from bergamotthread.version.route_table import RouteTable


class PlatformCheckError(BergamotError):
    """A file has faults; the message has a line for each."""


def check_settings_file(path: Path) -> str:
    """Return a line about a valid settings file.

    Raises
    ------
    PlatformSettingsError
        If it can't be used.
    """
    settings = PlatformSettings.from_file(path)
    return f'host {settings.host} in {settings.failure_domain}'


def check_manifest_file(path: Path) -> str:
    """Return a line about a valid manifest.

    Raises
    ------
    PlatformCheckError
        If it can't be read, or routes refer to what is not there.
    """
    try:
        table = decode_manifest(path.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise _fault(path, (str(error),)) from error
    faults = tuple(_faults(table))
    if faults:
        raise _fault(path, faults)
    return f'version {table.version}, {len(table.routes)} routes'


def _faults(table: RouteTable) -> Iterator[str]:
    known = sorted(table.service_by_name)
    seen: set[tuple[bytes, bytes]] = set()
    for number, route in enumerate(table.routes):
        place = f'$.routes[{number}]'
        for one in route.services:
            if one.service not in table.service_by_name:
                yield f'{place}: service {one.service!r}, expected {known}'
        prefix = route.path_prefix.decode()
        if not (prefix.startswith('/') and prefix.endswith('/')):
            yield f'{place}.path_prefix: {prefix!r}, expected slashes around'
        if (route.host, route.path_prefix) in seen:
            yield f'{place}: host and prefix {prefix!r} stand there twice'
        seen.add((route.host, route.path_prefix))


def _fault(path: Path, faults: tuple[str, ...]) -> PlatformCheckError:
    lines = '\n'.join(f'{path}: {fault}' for fault in faults)
    return PlatformCheckError(lines, step=Step.CHECK)
