import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    BergamotError,
    DecodeError,
    StoreUnavailableError,
)
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.store.platform import Row
from bergamotthread.testing.memory_platform import MemoryPlatform, MemoryTable
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.registration import (
    HOLDER_PREFIX,
    MAX_HOLDERS,
    Registration,
    delete_holders,
    read_holders,
)

PLACE = PlaceSettings('10.0.0.1:7000', 'cuyo', 'cuyo-a')


def _run(scenario: Callable[[MemoryTable], Awaitable[None]]) -> None:
    async def _main() -> None:
        clock = Clock.from_loop(asyncio.get_running_loop())
        await scenario(MemoryTable(MemoryPlatform(clock)))

    run_virtual(_main())


async def _versions(table: MemoryTable) -> list[int]:
    return [stored.holder.version for stored in await read_holders(table)]


def test_row_holds_the_recorded_version() -> None:
    async def _scenario(table: MemoryTable) -> None:
        registration = Registration(table, PLACE, 1)
        for version in (1, 2, 3):
            await registration.record(version, 0)
            assert await _versions(table) == [version]
        await registration.remove()
        assert await _versions(table) == []

    _run(_scenario)


@pytest.mark.parametrize('earlier', [0, 1, 2])
def test_write_is_repeated_after_a_lost_answer(earlier: int) -> None:
    async def _scenario(table: MemoryTable) -> None:
        registration = Registration(table, PLACE, 1)
        for version in range(1, earlier + 1):
            await registration.record(version, 0)
        table.platform.faults.lost_answers = 1
        with pytest.raises(StoreUnavailableError):
            await registration.record(7, 0)
        recorded = registration.recorded
        assert recorded is None or recorded.version < 7
        await registration.record(7, 0)
        assert await _versions(table) == [7]

    _run(_scenario)


def test_deleted_row_is_rewritten_under_another_key() -> None:
    async def _scenario(table: MemoryTable) -> None:
        registration = Registration(table, PLACE, 1)
        await registration.record(1, 0)
        [before] = await read_holders(table)
        assert await delete_holders(table, PLACE.address) == 1
        await registration.record(2, 0)
        [after] = await read_holders(table)
        assert after.key != before.key

    _run(_scenario)


def test_later_incarnation_replaces_earlier_ones_of_its_address() -> None:
    async def _scenario(table: MemoryTable) -> None:
        neighbour = PlaceSettings('10.0.0.1:70001', 'cuyo', 'cuyo-a')
        await Registration(table, neighbour, 1).record(1, 0)
        await Registration(table, PLACE, 3).record(3, 0)
        await Registration(table, PLACE, 4).record(4, 0)
        await Registration(table, PLACE, 2).record(2, 0)
        assert sorted(await _versions(table)) == [1, 2, 4]

    _run(_scenario)


@pytest.mark.parametrize('body', [b'{', b'{}', b'\xff', b'[]'])
def test_damaged_row_raises_a_decode_error(body: bytes) -> None:
    async def _scenario(table: MemoryTable) -> None:
        await table.write(f'{HOLDER_PREFIX}x/1.0', body, expected=0)
        with pytest.raises(DecodeError, match='x/1.0 is not a holder row'):
            await read_holders(table)

    _run(_scenario)


def test_too_many_rows_raise_an_error() -> None:
    async def _scenario(table: MemoryTable) -> None:
        rows = table.platform.rows_by_key
        for number in range(MAX_HOLDERS):
            key = f'{HOLDER_PREFIX}x/{number}.0'
            rows[key] = Row(key, b'{}', 1)
        with pytest.raises(BergamotError, match='expected fewer than'):
            await read_holders(table)

    _run(_scenario)
