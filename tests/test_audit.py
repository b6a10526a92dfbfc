import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import DecodeError, StoreUnavailableError
from bergamotthread.process.explanations.audit import (
    LOST_KIND,
    MAX_BUFFERED_RECORDS,
    AuditRecord,
    AuditTrail,
)
from bergamotthread.process.explanations.audit_reader import (
    AuditFilter,
    hours_between,
    read_audit,
    verify_chains,
)
from bergamotthread.process.explanations.audit_sinks import QuarantineAudit
from bergamotthread.process.generations.quarantine_store import QuarantineRow
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
)
from bergamotthread.testing.virtual_loop import run_virtual

Scenario = Callable[[MemoryPlatform], Awaitable[None]]


def _run(scenario: Scenario) -> None:
    async def _main() -> None:
        clock = Clock.from_loop(asyncio.get_running_loop())
        await scenario(MemoryPlatform(clock))

    run_virtual(_main())


def _trail(platform: MemoryPlatform, writer: str = 'cli') -> AuditTrail:
    return AuditTrail(MemoryObjectStore(platform), platform.clock, writer)


async def _append(trail: AuditTrail, count: int = 1) -> list[bool]:
    return [
        await trail.append(
            'drain', f'10.0.0.{index}', {'reason': 'kernel'}, 'ana'
        )
        for index in range(count)
    ]


async def _read(platform: MemoryPlatform) -> tuple[AuditRecord, ...]:
    hours = hours_between(0, platform.clock.calendar_ms())
    return await read_audit(MemoryObjectStore(platform), hours)


def test_records_of_two_writers_are_read_in_order_of_time() -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        first, second = _trail(platform), _trail(platform)
        assert first.writer != second.writer
        for trail in (first, second, first):
            await trail.append(
                'publish', 'v', {}, 'eva', version_before=1, version_after=2
            )
            await trail.flush()
            await platform.clock.sleep_ms(10)
        records = await _read(platform)
        assert [record.writer for record in records] == [
            first.writer,
            second.writer,
            first.writer,
        ]
        assert (records[0].version_before, records[0].version_after) == (1, 2)
        assert verify_chains(records) == ()

    _run(_scenario)


def test_only_records_of_the_given_hours_are_read() -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        trail = _trail(platform)
        await _append(trail)
        await trail.flush()
        await platform.clock.sleep_ms(2 * 3_600_000)
        await _append(trail)
        await trail.flush()
        store = MemoryObjectStore(platform)
        later = await read_audit(store, ['1970-01-01T02'])
        assert [record.sequence for record in later] == [2]
        assert verify_chains(later) == (trail.writer,)
        assert len(await read_audit(store, ['1970-01-01'])) == 2

    _run(_scenario)


@pytest.mark.parametrize(
    ('damage', 'message'),
    [
        (lambda records: records[:2] + records[3:], 'record 3 is missing'),
        (lambda records: (*records, records[1]), 'record 3 occurs twice'),
        (
            lambda records: tuple(
                msgspec.structs.replace(record, who='nobody')
                if record.sequence == 4
                else record
                for record in records
            ),
            'record 4 was altered',
        ),
        (
            lambda records: tuple(
                msgspec.structs.replace(record, sequence=9 - record.sequence)
                for record in records
            ),
            'was altered',
        ),
    ],
)
def test_altered_records_are_detected(damage: Callable, message: str) -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        trail = _trail(platform)
        await _append(trail, 8)
        await trail.flush()
        records = await _read(platform)
        with pytest.raises(ExceptionGroup) as caught:
            verify_chains(damage(records))
        assert message in str(caught.value.exceptions[0])

    _run(_scenario)


def test_full_buffer_keeps_the_first_records_and_counts_the_lost() -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        platform.faults.down = True
        trail = _trail(platform)
        accepted = await _append(trail, MAX_BUFFERED_RECORDS + 5)
        assert accepted.count(False) == trail.lost == 5
        with pytest.raises(StoreUnavailableError):
            await trail.flush()
        running = asyncio.ensure_future(trail.run())
        await platform.clock.sleep_ms(60_000)
        platform.faults.down = False
        await platform.clock.sleep_ms(2000)
        running.cancel()
        await _append(trail)
        await trail.flush()
        records = sorted(
            await _read(platform), key=lambda record: record.sequence
        )
        assert records[-2].kind == LOST_KIND
        assert records[-2].detail == {'count': '5'}
        assert len(records) == MAX_BUFFERED_RECORDS + 2
        assert verify_chains(records) == ()

    _run(_scenario)


def test_lost_answer_does_not_duplicate_records() -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        platform.faults.lost_answers = 3
        trail = _trail(platform)
        for count in (1, 2, 3):
            await _append(trail, count)
            with pytest.raises(StoreUnavailableError):
                await trail.flush()
        await trail.flush()
        records = await _read(platform)
        assert [record.sequence for record in records] == [1, 2, 3, 4, 5, 6]
        assert verify_chains(records) == ()

    _run(_scenario)


def test_name_taken_by_another_body_starts_a_new_chain() -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        trail = _trail(platform)
        name = f'audit/1970-01-01T00/{trail.writer}/0000000001'
        platform.bodies_by_name[name] = b'[]'
        await _append(trail, 3)
        await trail.flush()
        records = await _read(platform)
        assert [record.sequence for record in records] == [1, 2, 3]
        assert verify_chains(records) == ()
        assert platform.bodies_by_name[name] == b'[]'

    _run(_scenario)


@pytest.mark.parametrize('body', [b'{', b'[{}]', b'\xff', b'[' * 100_000])
def test_damaged_object_is_named_in_the_error(body: bytes) -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        platform.bodies_by_name['audit/1970-01-01T00/x/1'] = body
        with pytest.raises(DecodeError, match='audit/1970-01-01T00/x/1'):
            await _read(platform)

    _run(_scenario)


@pytest.mark.parametrize(
    ('wanted', 'count'),
    [
        (AuditFilter(), 4),
        (AuditFilter(kind='drain'), 3),
        (AuditFilter(subject='10.0.0.1'), 1),
        (AuditFilter(who='eva'), 1),
    ],
)
def test_filter_selects_by_kind_subject_and_author(
    wanted: AuditFilter, count: int
) -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        trail = _trail(platform)
        await _append(trail, 3)
        await trail.append('publish', 'configuration', {}, 'eva')
        await trail.flush()
        records = await _read(platform)
        assert (
            len([record for record in records if wanted.matches(record)])
            == count
        )

    _run(_scenario)


def test_quarantine_is_recorded_with_author_and_version() -> None:
    async def _scenario(platform: MemoryPlatform) -> None:
        trail = _trail(platform)
        sink = QuarantineAudit(trail, lambda: 7)
        sink.quarantine_recorded(QuarantineRow(255, 3, 9, '10.0.0.1:7000'))
        await trail.flush()
        [record] = await _read(platform)
        assert record.subject == 'fingerprints/00000000000000ff'
        assert (record.who, record.version_after) == ('10.0.0.1:7000', 7)
        assert record.detail == {'deaths': '3', 'until_ms': '9'}

    _run(_scenario)
