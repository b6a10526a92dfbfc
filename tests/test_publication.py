import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.process.store.store_client import StoreNotAskedError
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.archive import Archive, MissingObjectError
from bergamotthread.version.checks import ObjectsError
from bergamotthread.version.diff import ObjectName
from bergamotthread.version.objects import ObjectSet, Region, Team
from bergamotthread.version.publication import (
    Draft,
    PublicationConflictError,
    Publisher,
)
from bergamotthread.version.publication_write import PublicationUnknownError
from bergamotthread.version.record import (
    MAX_INLINE_BYTES,
    SNAPSHOT_INTERVAL_VERSIONS,
    VERSION_KEY,
    ChainError,
    VersionState,
)

STORE_WRITES_PER_S = 200
Scenario = Callable[[Publisher, MemoryPlatform], Awaitable[None]]


def _set(**weights: float) -> ObjectSet:
    teams = tuple(Team(name, weight=weight) for name, weight in weights.items())
    return ObjectSet(regions=(Region('cuyo'),), teams=teams)


def _run(scenario: Scenario) -> None:
    async def _main() -> None:
        clock = Clock.from_loop(asyncio.get_running_loop())
        platform = MemoryPlatform(clock)
        await scenario(_publisher(platform), platform)

    run_virtual(_main())


def _publisher(platform: MemoryPlatform, seed: int = 0) -> Publisher:
    return Publisher(
        MemoryTable(platform),
        Archive(MemoryObjectStore(platform)),
        platform.clock,
        random.Random(seed),
    )


def test_versions_follow_one_another() -> None:
    async def _scenario(publisher: Publisher, _: MemoryPlatform) -> None:
        first = await publisher.publish(Draft(_set(a=1), 'ana', 0))
        second = await publisher.publish(Draft(_set(a=2, b=1), 'eva', 1))
        assert (first.state.version, second.state.version) == (1, 2)
        newest = await publisher.newest()
        assert newest == second
        assert newest.state.object_set == _set(a=2, b=1)

    _run(_scenario)


def test_unchanged_set_is_not_published() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        writes = platform.writes
        again = await publisher.publish(Draft(_set(a=1), 'ana', 1))
        assert (again.state.version, platform.writes) == (1, writes)

    _run(_scenario)


def test_invalid_set_writes_nothing() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        with pytest.raises(ObjectsError):
            await publisher.publish(Draft(_set(a=0), 'ana', 0))
        assert platform.writes == 0

    _run(_scenario)


def test_conflict_names_publisher_and_changed_objects() -> None:
    async def _scenario(publisher: Publisher, _: MemoryPlatform) -> None:
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        await publisher.publish(Draft(_set(a=1, b=1), 'eva', 1))
        with pytest.raises(PublicationConflictError) as caught:
            await publisher.publish(Draft(_set(a=1, c=1), 'ana', 1))
        assert 'version 2 by eva: teams/b' in str(caught.value)
        newest = await publisher.newest()
        assert newest.state.object_set == _set(a=1, b=1)

    _run(_scenario)


def test_conflict_names_the_newest_of_many_publications() -> None:
    async def _scenario(publisher: Publisher, _: MemoryPlatform) -> None:
        for version in range(9):
            await publisher.publish(Draft(_set(a=version + 1), 'eva', version))
        with pytest.raises(PublicationConflictError) as caught:
            await publisher.publish(Draft(_set(a=99), 'ana', 1))
        assert '3 earlier ones; version 5 by eva' in str(caught.value)
        assert len(caught.value.newer) == 8

    _run(_scenario)


def test_rebase_keeps_changes_of_both_sides() -> None:
    async def _scenario(publisher: Publisher, _: MemoryPlatform) -> None:
        await publisher.publish(Draft(_set(a=1, b=1), 'ana', 0))
        await publisher.publish(Draft(_set(a=1, b=2), 'eva', 1))
        draft = Draft(_set(a=3, b=1), 'ana', 1, rebase=True)
        newest = await publisher.publish(draft)
        assert newest.state.object_set == _set(a=3, b=2)
        with pytest.raises(PublicationConflictError) as caught:
            draft = Draft(_set(a=1, b=9), 'ana', 1, rebase=True)
            await publisher.publish(draft)
        assert caught.value.clashes == {ObjectName('teams', 'b')}

    _run(_scenario)


def test_rebase_checks_the_merged_set() -> None:
    async def _scenario(publisher: Publisher, _: MemoryPlatform) -> None:
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        without_region = ObjectSet(teams=(Team('a'),))
        await publisher.publish(Draft(without_region, 'eva', 1))
        team = Team('b', home_region='cuyo')
        mine = msgspec.structs.replace(_set(a=1), teams=(Team('a'), team))
        with pytest.raises(ObjectsError, match='not valid'):
            await publisher.publish(Draft(mine, 'ana', 1, rebase=True))

    _run(_scenario)


def test_one_of_twenty_concurrent_publishers_succeeds() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        platform.faults.delay_ms = 5
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        drafts = [
            Draft(_set(a=1, **{f't{number}': 1}), f'op-{number}', 1)
            for number in range(20)
        ]
        outcomes = await asyncio.gather(
            *(_publisher(platform).publish(draft) for draft in drafts),
            return_exceptions=True,
        )
        conflicts = [
            outcome
            for outcome in outcomes
            if isinstance(outcome, PublicationConflictError)
        ]
        assert len(conflicts) == 19
        newest = await publisher.newest()
        assert newest.state.version == 2
        assert all(conflict.newer[0].version == 2 for conflict in conflicts)

    _run(_scenario)


def test_twenty_concurrent_rebases_all_succeed() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        platform.faults.delay_ms = 5
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        drafts = [
            Draft(
                _set(a=1, **{f't{number}': 1}), f'op-{number}', 1, rebase=True
            )
            for number in range(20)
        ]
        writes = platform.writes
        started_ms = platform.clock.now_ms()
        await asyncio.gather(
            *(
                _publisher(platform, seed).publish(draft)
                for seed, draft in enumerate(drafts)
            ),
        )
        assert platform.writes - writes <= STORE_WRITES_PER_S
        assert platform.clock.now_ms() - started_ms <= 5000
        newest = await publisher.newest()
        assert newest.state.version == 21
        assert len(newest.state.object_set.teams) == 21

    _run(_scenario)


@pytest.mark.parametrize('lost', [1, 2, 3])
@pytest.mark.parametrize('overtaken', [False, True])
def test_own_publication_is_found_after_a_lost_answer(
    lost: int,
    *,
    overtaken: bool,
) -> None:
    """The write whose answer was lost is retried and meets its own row."""

    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        table = _LossyTable(platform, lost=lost, overtaken=overtaken)
        lossy = Publisher(table, publisher.archive, platform.clock)
        published = await lossy.publish(Draft(_set(a=2), 'eva', 1))
        assert published.state.version == 2
        history = await publisher.newest()
        assert history.state.version == (3 if overtaken else 2)
        assert table.effective == 1

    _run(_scenario)


class _LossyTable(MemoryTable):
    """Loses the first `lost` answers to writes.

    If `overtaken`, another version is published before the write is retried.
    """

    def __init__(
        self,
        platform: MemoryPlatform,
        *,
        lost: int,
        overtaken: bool,
    ) -> None:
        super().__init__(platform)
        self.lost = lost
        self.overtaken = overtaken
        self.effective = 0

    async def write(self, key: str, body: bytes, *, expected: int) -> None:
        row = await super().write(key, body, expected=expected)
        self.effective += 1
        if self.overtaken:
            other = _publisher(self.platform)
            await other.publish(Draft(_set(a=2, z=1), 'ida', 2))
        self.lost -= 1
        if self.lost >= 0:
            raise StoreUnavailableError('answer lost', step='store')
        return row


def test_unanswered_write_raises_unknown_outcome() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        table = _LossyTable(platform, lost=1_000, overtaken=False)
        original = table.write

        async def _write_then_down(*args: object, **names: object) -> None:
            platform.faults.down = False
            try:
                await original(*args, **names)
            finally:
                platform.faults.down = True

        table.write = _write_then_down
        lossy = Publisher(table, publisher.archive, platform.clock)
        with pytest.raises(PublicationUnknownError, match='version 2 may have'):
            await lossy.publish(Draft(_set(a=2), 'eva', 1))

    _run(_scenario)


def test_write_that_was_never_sent_has_no_unknown_outcome() -> None:
    class _ClosedTable(MemoryTable):
        async def write(self, key: str, body: bytes, *, expected: int) -> None:
            raise StoreNotAskedError('circuit is open', step='store')

    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        table = _ClosedTable(platform)
        closed = Publisher(table, publisher.archive, platform.clock)
        with pytest.raises(StoreNotAskedError):
            await closed.publish(Draft(_set(a=1), 'ana', 0))

    _run(_scenario)


def test_store_down_before_the_write_raises_unavailable() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        platform.faults.down = True
        with pytest.raises(StoreUnavailableError):
            await publisher.publish(Draft(_set(a=1), 'ana', 0))

    _run(_scenario)


def test_rollback_is_a_new_version() -> None:
    async def _scenario(publisher: Publisher, _: MemoryPlatform) -> None:
        await publisher.publish(Draft(_set(a=1), 'ana', 0))
        await publisher.publish(Draft(_set(a=2), 'ana', 1))
        newest = await publisher.rollback(1, who='eva', base=2)
        assert newest.state.version == 3
        assert newest.state.object_set == _set(a=1)
        assert newest.row is not None
        assert newest.row.note == 'rollback to version 1'
        with pytest.raises(MissingObjectError):
            await publisher.rollback(9, who='eva', base=3)

    _run(_scenario)


def test_every_earlier_version_can_be_read() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        count = 2 * SNAPSHOT_INTERVAL_VERSIONS + 3
        for version in range(count):
            draft = Draft(_set(a=version + 1), 'ana', version)
            newest = await publisher.publish(draft)
        assert newest.row is not None
        for version in (1, 2, 64, 65, 66, 128, 129, count):
            state = await publisher.archive.version(newest.row, version)
            assert state.object_set == _set(a=version)
        reads = platform.reads
        assert await publisher.newest() == newest
        assert platform.reads - reads <= 3

    _run(_scenario)


def test_interrupted_read_continues_with_objects_already_read() -> None:
    """The store's rate limits may interrupt every read of a long history."""

    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        for version in range(SNAPSHOT_INTERVAL_VERSIONS + 30):
            note = 'long ' * 200
            draft = Draft(_set(a=version + 1), 'ana', version, note)
            newest = await publisher.publish(draft)
        store = _InterruptedStore(platform)
        archive = Archive(store)
        assert newest.row is not None
        attempts = 0
        while store.gets < 4:
            attempts += 1
            with contextlib.suppress(StoreUnavailableError):
                await archive.newest(newest.row, VersionState())
                break
        state = await archive.newest(newest.row, VersionState())
        assert state == newest.state
        assert attempts > 1

    _run(_scenario)


class _InterruptedStore(MemoryObjectStore):
    """Fails every second read."""

    gets = 0

    async def get(self, name: str) -> bytes | None:
        self.gets += 1
        if self.gets % 2 == 0:
            raise StoreUnavailableError('store not asked', step='store')
        return await super().get(name)


def test_row_stays_small() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        for version in range(40):
            draft = Draft(_set(a=version + 1), 'ana', version)
            await publisher.publish(draft)
        body = platform.rows_by_key[VERSION_KEY].body
        assert len(body) < MAX_INLINE_BYTES + 500

    _run(_scenario)


def test_altered_publication_breaks_the_chain() -> None:
    async def _scenario(publisher: Publisher, platform: MemoryPlatform) -> None:
        newest = await publisher.publish(Draft(_set(a=1), 'ana', 0))
        assert newest.row is not None
        [publication] = newest.row.recent
        forged = msgspec.structs.replace(publication, who='eva')
        with pytest.raises(ChainError):
            VersionState().apply(forged)
        stored = await publisher.archive.tail(publication.publication_id)
        assert stored.publications == (publication,)

    _run(_scenario)
