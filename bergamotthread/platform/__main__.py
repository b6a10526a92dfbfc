"""Run an entry on the users' platform, configured by its settings file."""

from __future__ import annotations

import asyncio
import os
import sys

from bergamotthread.clock import Clock
from bergamotthread.platform.entry import PlatformEntry
from bergamotthread.platform.settings import (
    PlatformSettings,
    PlatformSettingsError,
    load_settings,
)

_EXIT_SETTINGS = 2


def main() -> int:
    """Run the entry until it is stopped; return the exit code."""
    # The decision log drops lines rather than wait for a slow reader.
    os.set_blocking(sys.stdout.fileno(), False)
    try:
        settings = load_settings()
    except PlatformSettingsError as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_SETTINGS
    asyncio.run(_run(settings))
    return 0


async def _run(settings: PlatformSettings) -> None:
    entry = PlatformEntry(settings, Clock.from_system())
    entry.handle_signals()
    await entry.run()


if __name__ == '__main__':
    sys.exit(main())
