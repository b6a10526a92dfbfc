"""Size of a large version on its way from one entry to another."""

from __future__ import annotations

import asyncio
import json
import random
import zlib

import msgspec
import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.relayed_feed import (
    RelayedFeedServer,
    TableHistory,
)
from bergamotthread.platform.store import (
    PlatformStoreClient,
    StoreCallError,
    StoredRow,
    WireRow,
    WireRows,
    _decode_rows,
)
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.process.relay.liveness import STREAM_SILENCE_MS
from bergamotthread.process.relay.servers import listen
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import MODEL, manifest, route_of
from tests.platform_standins import STORE, Deployment, settings

# Slowest link of an entry on the users' sheets.
LINK_BYTES_PER_MS = 5e6 / 8 / 1000


def _large_manifest(routes=2850, version=1):
    rng = random.Random(5)
    prefixes = [f'/{rng.getrandbits(32):08x}/' for _ in range(routes)]
    return manifest(
        version,
        routes=tuple(
            route_of(prefix, 'streaming', MODEL, stream_resume=True)
            for prefix in prefixes
        ),
    )


def _version(number):
    return StoreVersion(0, number)


def _history(payload):
    async def make():
        history = TableHistory(Clock.from_loop(asyncio.get_running_loop()))
        history.restart((), _version(1), 1, is_direct=True)
        row = StoredRow('config', payload, _version(2))
        history.add((row,), _version(2), 2, is_direct=True)
        return history

    return make()


# Guards against a version that fills the link of an entry for over a second, in
# which all of its streams are silent.
def test_large_version_takes_a_slow_link_no_longer_than_a_stream_may_pause():
    async def check():
        payload = json.dumps(_large_manifest()).encode()
        history = await _history(payload)
        changes = await history.changes_after(_version(1), 0, is_packed=True)
        sent = msgspec.json.encode(changes)
        assert len(sent) / LINK_BYTES_PER_MS < STREAM_SILENCE_MS
        [row] = _decode_rows(changes)
        assert row.payload == payload

    run_in_memory(check())


def test_follower_that_does_not_ask_for_it_gets_rows_as_the_store_has_them():
    """Entries of an earlier release do not know compressed rows."""

    async def check():
        payload = b'x' * 10_000
        history = await _history(payload)
        changes = await history.changes_after(_version(1), 0)
        [wire_row] = changes.rows
        assert not wire_row.is_packed
        [row] = _decode_rows(changes)
        assert row.payload == payload

    run_in_memory(check())


@pytest.mark.parametrize('packed', [b'', b'text', zlib.compress(b'x')[:-2]])
def test_relayed_row_that_cannot_be_decompressed_is_an_error(packed):
    import base64

    encoded = base64.b64encode(packed).decode()
    with pytest.raises(StoreCallError, match='config is not compressed'):
        _decode_rows(
            WireRows((WireRow('config', encoded=encoded, is_packed=True),))
        )


def test_large_version_is_in_force_at_a_follower():
    async def check():
        deployment = await Deployment.start()
        await deployment.add_entry(settings('edge-a-2', 'a-1', 2))
        await deployment.clock.sleep_ms(2500)
        deployment.store.put('op', 'config', _large_manifest(version=2))
        await deployment.clock.sleep_ms(1500)
        in_force = [
            fields['version']
            for fields in deployment.events('version-in-force', 1)
        ]
        assert in_force[-1] == 2
        reads = deployment.store.calls.count('/api/rows-feed')
        assert reads

    run_in_memory(check())


# Guards against a key that is accepted after its bound, because the time that
# an answer took on a busy link was left out of the age of the version.
def test_age_of_a_relayed_version_includes_its_time_on_the_way():
    async def check():
        deployment = await Deployment.start()
        await deployment.add_entry(settings('edge-a-2', 'a-1', 2))
        deployment.net.delay_ms = 50
        await deployment.clock.sleep_ms(4000)
        leader, follower = deployment.entries
        history = leader._watches.version.history
        confirmed_ms = history.confirmed_ms
        while history.confirmed_ms == confirmed_ms:
            await deployment.clock.sleep_ms(1)
        confirmed_ms = history.confirmed_ms
        deployment.net.silent.add(STORE)
        deployment.net.hold(300)
        await deployment.clock.sleep_ms(350)
        true_age_ms = deployment.clock.boot_ms() - confirmed_ms
        assert follower._freshness.age_ms >= true_age_ms

    run_in_memory(check())


def test_relayed_change_is_applied_whatever_its_age():
    """Followers that refused it read the whole version from the store."""

    async def check():
        deployment = await Deployment.start()
        await deployment.add_entry(settings('edge-a-2', 'a-1', 2))
        await deployment.clock.sleep_ms(4000)
        leader = deployment.entries[0]._watches.version.history
        row = json.dumps(manifest(version=2)).encode()
        leader.confirmed_ms -= 5000
        changed = StoredRow('config', row, _version(leader.version.number + 1))
        leader.add((changed,), changed.version, 0, is_direct=True)
        await deployment.clock.sleep_ms(300)
        assert not deployment.events('feed-source-lost', 1)
        in_force = deployment.events('version-in-force', 1)
        assert in_force[-1]['version'] == 2

    run_in_memory(check())


async def _relayed(history, age_max_ms, wait_ms=0):
    """Read the changes after version 1 from an entry that relays them."""
    loop = asyncio.get_running_loop()
    clock = Clock.from_loop(loop)
    server = RelayedFeedServer(clock, {'op': history})
    await listen(server, '10.1.0.1:7001')
    client = PlatformStoreClient(STORE, UpstreamPool(clock, b'none'))
    return await client.read_relayed_changes(
        '10.1.0.1:7001', 'op', _version(1), wait_ms, age_max_ms
    )


# Guards against a follower that was held up and then left its reader for a
# confirmation that was too old, although the next one was on its way.
def test_follower_without_news_waits_for_the_next_confirmation():
    async def check():
        loop = asyncio.get_running_loop()
        history = TableHistory(Clock.from_loop(loop))
        history.restart((), _version(1), loop.time() * 1000, is_direct=True)
        # Other tables changed, so that the version has risen without rows.
        history.add((), _version(5), loop.time() * 1000, is_direct=True)
        await asyncio.sleep(1.463)

        async def confirm():
            await asyncio.sleep(0.5)
            history.add((), _version(6), loop.time() * 1000, is_direct=True)

        confirming = asyncio.create_task(confirm())
        read = await _relayed(history, age_max_ms=1300, wait_ms=1300)
        assert read.version == _version(6)
        assert read.age_ms < 1300
        await confirming

    run_in_memory(check())


def test_follower_without_news_is_answered_at_once_if_that_is_recent():
    async def check():
        loop = asyncio.get_running_loop()
        history = TableHistory(Clock.from_loop(loop))
        history.restart((), _version(1), loop.time() * 1000, is_direct=True)
        history.add((), _version(5), loop.time() * 1000, is_direct=True)
        await asyncio.sleep(1)
        started_s = loop.time()
        read = await _relayed(history, age_max_ms=1300, wait_ms=1300)
        assert read.version == _version(5)
        assert loop.time() - started_s < 0.1

    run_in_memory(check())
