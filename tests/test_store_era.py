"""A store that comes back from a copy some seconds old, in memory."""

from __future__ import annotations

import asyncio
import json
import math

import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.http.fetch import FetchRequest, fetch
from bergamotthread.platform.relayed_feed import TableHistory
from bergamotthread.platform.settings import PlatformSettings
from bergamotthread.platform.store import (
    PlatformStoreClient,
    StoreCallError,
    StoredRow,
)
from bergamotthread.platform.store_version import (
    EraError,
    EraTracker,
    StoreVersion,
)
from bergamotthread.process.relay.feed_sources import ENTRY_BACKOFF_MS
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import PLAIN, manifest, runner_row
from standins.platform_settings import ZONES, entry_settings
from tests.platform_standins import STORE, Deployment, settings

HEADER = b'store-era'
OLD_KEY = 'key-old'
NEW_KEY = 'key-new'
# Longest time from the return of the store until all is in force again.
CATCH_UP_MS = 4000


async def _start(entries: int = 1, plains: int = 2) -> Deployment:
    deployment = await Deployment.start(
        models=1, plains=plains, version=2, keys=(OLD_KEY, NEW_KEY)
    )
    for number in range(2, entries + 1):
        await deployment.add_entry(settings(f'edge-a-{number}', number=number))
    await deployment.clock.sleep_ms(3000)
    return deployment


async def _fall_back(
    deployment: Deployment, ver: int, outage_ms: float = 500
) -> None:
    """Let the store be away for a moment and come back from a copy."""
    store = deployment.store
    store.status = 503
    deployment.net.reset(STORE)
    await deployment.clock.sleep_ms(outage_ms)
    store.restore(ver)
    store.status = 0


def _fronts(deployment: Deployment) -> list[str]:
    return [
        f'10.1.0.{number}:8000'
        for number in range(1, len(deployment.entries) + 1)
    ]


async def _statuses(deployment: Deployment, key: str) -> list[int]:
    answers = [
        await deployment.call('/any/x', front, key=key)
        for front in _fronts(deployment)
    ]
    return [answer.status for answer in answers]


async def _register(
    deployment: Deployment, number: int, **fields: object
) -> None:
    runner = deployment.plains[number]
    row = runner_row(runner.address, PLAIN, 'a-1', **{'born': 1, **fields})
    deployment.store.put('servers', runner.instance, row)


def _row(
    key: str, era: int, number: int, payload: bytes | None = b''
) -> object:
    return StoredRow(key, payload, StoreVersion(era, number))


def test_version_given_out_again_is_newer_than_all_of_the_era_before():
    assert StoreVersion(2, 1) > StoreVersion(1, 900) > StoreVersion(1, 899)


def test_answer_of_an_older_era_is_dropped():
    eras = EraTracker()
    changes = []
    eras.listeners.append(lambda *change: changes.append(change))
    assert eras.read([]) == 0
    assert eras.read([(HEADER, b'3')]) == 3
    assert eras.read([(b'date', b'x')]) == 3
    with pytest.raises(EraError, match='era 2'):
        eras.read([(HEADER, b'2')])
    assert eras.read([(HEADER, b'4')]) == 4
    assert changes == [(3, 4)]


@pytest.mark.parametrize(
    'headers',
    [
        [(HEADER, b'')],
        [(HEADER, b'-1')],
        [(HEADER, b'1.5')],
        [(HEADER, b'two')],
        [(HEADER, b'1'), (HEADER, b'2')],
    ],
)
def test_garbled_era_orders_nothing(headers):
    eras = EraTracker(1)
    with pytest.raises(EraError):
        eras.read(headers)
    assert eras.known == 1


def test_history_sends_the_whole_table_to_a_follower_of_an_older_era():
    async def check():
        history = TableHistory(Clock.from_system())
        history.restart(
            [_row('a', 1, 7)], StoreVersion(1, 9), 1, is_direct=True
        )
        history.restart(
            [_row('b', 2, 3)], StoreVersion(2, 4), 2, is_direct=True
        )
        history.add([_row('c', 2, 5)], StoreVersion(2, 5), 3, is_direct=True)
        history.add([_row('d', 1, 9)], StoreVersion(1, 9), 4, is_direct=True)
        for after in (StoreVersion(1, 9), StoreVersion(2)):
            answer = await history.changes_after(after, 0)
            assert [row.key for row in answer.rows] == ['b', 'c']
            assert (answer.is_whole, answer.era, answer.ver) == (True, 2, 5)
        assert history.confirmed_ms == 3
        changes = await history.changes_after(StoreVersion(2, 4), 0)
        assert [row.key for row in changes.rows] == ['c']
        assert not changes.is_whole

    asyncio.run(check())


def test_history_of_an_older_era_confirms_nothing_to_a_newer_follower():
    async def check():
        history = TableHistory(Clock.from_system())
        history.restart(
            [_row('a', 1, 7)], StoreVersion(1, 9), 1, is_direct=True
        )
        assert await history.changes_after(StoreVersion(2, 3), 10) is None
        waiting = asyncio.create_task(
            history.changes_after(StoreVersion(2), 5000)
        )
        await asyncio.sleep(0)
        history.add([], StoreVersion(1, 10), 2, is_direct=True)
        await asyncio.sleep(0)
        assert not waiting.done()
        history.restart(
            [_row('b', 2, 3)], StoreVersion(2, 4), 3, is_direct=True
        )
        answer = await waiting
        assert [row.key for row in answer.rows] == ['b']

    asyncio.run(check())


@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('times', [1, 2])
def test_versions_given_out_again_are_applied(entries, times):
    """Entries once waited for versions above those of the era before."""

    async def check():
        deployment = await _start(entries)
        store = deployment.store
        copy = store.ver
        for _ in range(30):
            await _register(deployment, 0)
        await deployment.clock.sleep_ms(500)
        for number in range(times):
            await _fall_back(deployment, copy)
            await deployment.clock.sleep_ms(300)
            store.put('op', 'config', manifest(5 + number, keys=(NEW_KEY,)))
        returned_ms = deployment.clock.now_ms()
        await deployment.clock.sleep_ms(1500)
        assert store.ver < copy + 30
        assert set(await _statuses(deployment, OLD_KEY)) == {401}
        assert set(await _statuses(deployment, NEW_KEY)) == {200}
        assert deployment.clock.now_ms() - returned_ms < CATCH_UP_MS
        for number in range(entries):
            seen = deployment.events('store-era', number)
            assert seen[-1]['era'] == times

    run_in_memory(check())


@pytest.mark.parametrize('entries', [1, 3])
def test_removed_key_stays_removed_and_no_caller_is_refused(entries):
    async def check():
        deployment = await _start(entries)
        store = deployment.store
        copy = store.ver
        newest = manifest(3, keys=(NEW_KEY,))
        store.put('op', 'config', newest)
        await deployment.clock.sleep_ms(500)
        await _fall_back(deployment, copy)
        returned_ms = deployment.clock.now_ms()
        while deployment.clock.now_ms() < returned_ms + 2 * CATCH_UP_MS:
            assert set(await _statuses(deployment, OLD_KEY)) == {401}
            assert set(await _statuses(deployment, NEW_KEY)) == {200}
            if newest and deployment.clock.now_ms() > returned_ms + 900:
                store.put('op', 'config', newest)
                newest = None
        for entry in deployment.entries:
            assert entry._freshness.age_ms < 2500

    run_in_memory(check())


@pytest.mark.parametrize('entries', [1, 2])
def test_return_without_a_lost_manifest_refuses_no_caller(entries):
    async def check():
        deployment = await _start(entries)
        await _fall_back(deployment, deployment.store.ver - 1, 1000)
        returned_ms = deployment.clock.now_ms()
        while deployment.clock.now_ms() < returned_ms + 2 * CATCH_UP_MS:
            assert set(await _statuses(deployment, NEW_KEY)) == {200}
        for entry in deployment.entries:
            assert entry._freshness.age_ms < 2500

    run_in_memory(check())


def test_copy_proves_no_manifest_until_the_operator_has_written_again():
    """A manifest that only the operator knows may be among what is lost."""

    async def check():
        deployment = await _start()
        store = deployment.store
        copy = store.ver
        connect = deployment.net.connect

        async def cut(factory, address):
            if address == STORE and is_cut:
                raise ConnectionRefusedError(address)
            return await connect(factory, address)

        deployment.net.connect = cut
        is_cut = True
        deployment.net.reset(STORE)
        store.put('op', 'config', manifest(3, keys=(NEW_KEY,)))
        removed_ms = deployment.clock.now_ms()
        await deployment.clock.sleep_ms(4600)
        store.restore(copy)
        is_cut = False
        while deployment.clock.now_ms() < removed_ms + 8000:
            if deployment.clock.now_ms() > removed_ms + 5500:
                store.put('op', 'config', manifest(3, keys=(NEW_KEY,)))
            statuses = await _statuses(deployment, OLD_KEY)
            if deployment.clock.now_ms() > removed_ms + 5000:
                assert statuses != [200]
            await deployment.clock.sleep_ms(50)
        assert await _statuses(deployment, NEW_KEY) == [200]

    run_in_memory(check())


def test_manifest_of_the_copy_is_not_confirmed_while_it_is_older():
    async def check():
        deployment = await _start()
        copy = deployment.store.ver
        deployment.store.put('op', 'config', manifest(3, keys=(NEW_KEY,)))
        await deployment.clock.sleep_ms(500)
        await _fall_back(deployment, copy)
        await deployment.clock.sleep_ms(8000)
        assert await _statuses(deployment, NEW_KEY) == [503]
        [kept_out] = deployment.events('older-version-kept-out')
        assert (kept_out['version'], kept_out['in_force']) == (2, 3)
        deployment.store.put('op', 'config', manifest(4, keys=(OLD_KEY,)))
        await deployment.clock.sleep_ms(100)
        assert await _statuses(deployment, OLD_KEY) == [200]

    run_in_memory(check())


@pytest.mark.parametrize('entries', [1, 2])
@pytest.mark.parametrize('born', [0, 1])
@pytest.mark.parametrize('how', ['draining', 'gone'])
def test_leaving_upstream_gets_nothing_though_the_copy_says_ready(
    entries, born, how
):
    async def check():
        deployment = await _start(entries)
        deployment.store.remove('servers', 'p0')
        await deployment.clock.sleep_ms(1500)
        await _register(deployment, 0, born=born)
        copy = deployment.store.ver
        leaving = deployment.plains[0]
        if how == 'draining':
            await _register(deployment, 0, born=born, state='draining')
        else:
            deployment.store.remove('servers', leaving.instance)
        await deployment.clock.sleep_ms(1500)
        before = len(leaving.seen)
        for _ in range(2):
            await _fall_back(deployment, copy)
            for _ in range(20):
                assert set(await _statuses(deployment, NEW_KEY)) == {200}
                await deployment.clock.sleep_ms(100)
        assert len(leaving.seen) == before
        await _register(deployment, 0, born=5)
        await deployment.clock.sleep_ms(1500)
        for _ in range(10):
            await _statuses(deployment, NEW_KEY)
        assert len(leaving.seen) > before

    run_in_memory(check())


def test_gone_upstream_that_writes_its_row_again_is_used():
    async def check():
        deployment = await _start(plains=1)
        [plain] = deployment.plains
        await _register(deployment, 0)
        copy = deployment.store.ver
        deployment.store.remove('servers', plain.instance)
        await deployment.clock.sleep_ms(500)
        await _fall_back(deployment, copy)
        await deployment.clock.sleep_ms(1000)
        await _register(deployment, 0, seq=2)
        await deployment.clock.sleep_ms(500)
        assert await _statuses(deployment, NEW_KEY) == [200]

    run_in_memory(check())


@pytest.mark.parametrize('is_rewritten', [True, False])
def test_upstream_whose_row_is_lost_stays_in_use_for_a_while(is_rewritten):
    async def check():
        deployment = await _start(plains=1)
        deployment.store.remove('servers', 'p0')
        copy = deployment.store.ver
        await _register(deployment, 0, born=9)
        await deployment.clock.sleep_ms(1000)
        await _fall_back(deployment, copy)
        for _ in range(18):
            await deployment.clock.sleep_ms(100)
            assert await _statuses(deployment, NEW_KEY) == [200]
        if is_rewritten:
            await _register(deployment, 0, born=9)
        await deployment.clock.sleep_ms(3000)
        statuses = await _statuses(deployment, NEW_KEY)
        assert (statuses == [200]) is is_rewritten

    run_in_memory(check())


def test_row_of_an_entry_that_the_copy_lacks_is_written_again():
    async def check():
        deployment = await _start(2)
        store = deployment.store
        copy = next(
            row.ver for row in store._all_changes if row.table == 'entries'
        )
        await _fall_back(deployment, copy - 1)
        await deployment.clock.sleep_ms(CATCH_UP_MS)
        listed = {key for table, key in store._row_by_key if table == 'entries'}
        assert listed == {'edge-a-1', 'edge-a-2'}
        assert len(deployment.entries[0]._feeds) == 2
        connection = await deployment.connect('10.1.0.1:7000')
        connection.send(b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n', b'')
        shown = (await deployment.read(connection)).body
        assert b'store_era 1\n' in shown

    run_in_memory(check())


def test_late_answer_of_the_old_era_is_dropped():
    async def check():
        deployment = await _start()
        store, client = deployment.store, deployment.entries[0]._store
        store.late_ms = 300
        late = asyncio.create_task(client.read_rows('op'))
        await deployment.clock.sleep_ms(50)
        store.late_ms = 0
        store.restore(store.ver - 1)
        await client.read_rows('op')
        with pytest.raises(StoreCallError, match='answer of era 0'):
            await late

    run_in_memory(check())


def test_pages_of_two_eras_are_not_joined():
    async def check():
        deployment = await _start()
        store = deployment.store
        client = PlatformStoreClient(STORE, deployment.entries[0]._pool)
        for number in range(700):
            store.put('t', f'{number:04}', b'')
        store.late_ms = 100
        read = asyncio.create_task(client.read_rows('t'))
        await deployment.clock.sleep_ms(50)
        store.restore(store.ver - 1)
        with pytest.raises(StoreCallError, match='pages of eras 0 and 1'):
            await read

    run_in_memory(check())


def test_follower_and_followed_never_mix_two_eras():
    """A follower that knows the new era takes nothing older, and the reverse.

    The followed entry is cut from the store while the store returns.
    """

    async def check():
        deployment = await _start(2)
        store = deployment.store
        copy = store.ver
        connect = deployment.net.connect
        tasks_cut = set()

        async def cut(factory, address):
            task = asyncio.current_task()
            if address == STORE and task in tasks_cut:
                raise ConnectionRefusedError(address)
            return await connect(factory, address)

        deployment.net.connect = cut
        watches = deployment.entries[0]._watches
        tasks_cut.update(
            watch._task
            for watch in (watches.version, watches.runners, watches.entries)
        )
        store.put('op', 'config', manifest(3, keys=(NEW_KEY,)))
        await deployment.clock.sleep_ms(500)
        await _fall_back(deployment, copy)
        await deployment.clock.sleep_ms(300)
        store.put('op', 'config', manifest(5, keys=(OLD_KEY,)))
        await deployment.clock.sleep_ms(ENTRY_BACKOFF_MS + 1000)
        tasks_cut.clear()
        for entry in deployment.entries:
            history = entry._watches.version.history
            assert {
                row.version.era for row in history._row_by_key.values()
            } == {1}
        assert await _statuses(deployment, OLD_KEY) == [200, 200]
        assert await _statuses(deployment, NEW_KEY) == [401, 401]

    run_in_memory(check())


def test_entries_find_a_new_era_without_a_storm():
    async def check():
        deployment = await _start(8)
        await _register(deployment, 0)
        await deployment.clock.sleep_ms(1000)
        await _fall_back(deployment, deployment.store.ver - 1)
        deployment.store.calls.clear()
        await deployment.clock.sleep_ms(1500)
        calls = deployment.store.calls
        assert calls.count('/api/rows-get') <= 3
        for entry in deployment.entries:
            watches = entry._watches
            for watch in (watches.version, watches.runners, watches.entries):
                assert watch.history.version.era == 1

    run_in_memory(check())


def test_call_of_an_entry_that_knows_no_eras_leads_it_to_the_store():
    async def check():
        deployment = await _start()
        peer, target = '10.1.0.1:7001', b'/api/rows-feed?table=op&after=999'
        pool = deployment.entries[0]._pool
        before = await fetch(pool, peer, FetchRequest(b'GET', target), 500)
        await _fall_back(deployment, deployment.store.ver - 1)
        await deployment.clock.sleep_ms(500)
        after = await fetch(pool, peer, FetchRequest(b'GET', target), 500)
        assert (before.status, after.status) == (200, 410)

    run_in_memory(check())


async def _read_load(entries: int, outage_ms: float) -> tuple[int, int, float]:
    """Return the reads after a return of the store, with entries in 3 regions.

    They are the most calls in one second, the reads of whole tables, and the
    time until all entries have all tables of the new era.
    """
    deployment = await _start()
    zones = list(ZONES)
    for number in range(2, entries + 1):
        place = entry_settings(
            f'edge-{number:03}',
            f'10.{1 + number // 200}.1.{number % 200}',
            zones[number % len(zones)],
            STORE,
        )
        encoded = json.dumps(place).encode()
        await deployment.add_entry(PlatformSettings.from_json(encoded))
    await deployment.clock.sleep_ms(8000)
    copy = deployment.store.ver
    await _register(deployment, 0)
    await deployment.clock.sleep_ms(1000)
    await _fall_back(deployment, copy, outage_ms)
    deployment.store.calls.clear()
    watches = [
        watch
        for entry in deployment.entries
        for watch in vars(entry._watches).values()
    ]
    returned_ms = deployment.clock.now_ms()
    counts = [0]
    current_ms = math.inf
    while deployment.clock.now_ms() < returned_ms + CATCH_UP_MS:
        await deployment.clock.sleep_ms(10)
        counts.append(len(deployment.store.calls))
        is_current = all(watch.history.version.era == 1 for watch in watches)
        if is_current and current_ms == math.inf:
            current_ms = deployment.clock.now_ms() - returned_ms
    most = max(
        after - before
        for before, after in zip(counts, counts[100:], strict=False)
    )
    whole_reads = deployment.store.calls.count('/api/rows-get')
    return most, whole_reads, current_ms


@pytest.mark.parametrize('outage_ms', [800, 3000])
def test_whole_tables_are_read_once_for_each_region(outage_ms):
    """Each entry once read two whole tables within a quarter second."""
    most, whole_reads, current_ms = run_in_memory(_read_load(68, outage_ms))
    assert most <= 2 * 68
    assert whole_reads == 9
    assert current_ms < 1500


# Guards against a store without eras whose tables are read whole again and
# again: 9,927 calls in a quiet day instead of 377.
def test_store_that_states_no_era_is_followed_by_long_polls():
    async def check():
        deployment = Deployment()
        deployment.store.states_era = False
        await deployment.store.listen(STORE)
        deployment.store.put('op', 'config', manifest())
        await deployment.add_entry(settings())
        await deployment.clock.sleep_ms(2000)
        calls = deployment.store.calls
        del calls[:]
        await deployment.clock.sleep_ms(10_000)
        assert '/api/rows-get' not in calls
        # Two tables are polled for a second at a time, one for 20 s.
        assert len(calls) <= 2 * 10 + 1

    run_in_memory(check())
