"""The store process of a soak returns to states of some seconds ago."""

from __future__ import annotations

import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.testing.virtual_loop import run_virtual
from soak.store_process import RestorableStore


async def _restore(*ages_ms: float) -> tuple[int, int]:
    """Restore a store with writes at 0 s, 1 s and 2 s, first at 2.5 s.

    Returns
    -------
    tuple
        Version and era after the last restoration.
    """
    clock = Clock.from_loop(asyncio.get_running_loop())
    store = RestorableStore(clock)
    sampling = asyncio.create_task(store.sample())
    for second in range(3):
        await clock.sleep_ms(second * 1000 + 10 - clock.now_ms())
        store.put('servers', f'row-{second}', {})
    await clock.sleep_ms(2500 - clock.now_ms())
    for age_ms in ages_ms:
        store.restore_state_of(age_ms)
        await clock.sleep_ms(100)
    sampling.cancel()
    return store.ver, store.era


@pytest.mark.parametrize(
    ('ages_ms', 'ver', 'era'),
    [
        ((100,), 3, 1),
        ((1000,), 2, 1),
        ((2000,), 1, 1),
        ((60_000,), 0, 1),
        ((2000, 1000), 1, 2),
        ((1000, 2000), 1, 2),
    ],
)
def test_restored_state_is_as_old_as_ordered(ages_ms, ver, era):
    """A restoration of the newest state would lose nothing in any soak."""
    assert run_virtual(_restore(*ages_ms)) == (ver, era)
