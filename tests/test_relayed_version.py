"""Size of a large version on its way from one entry to another."""

from __future__ import annotations

import asyncio
import json
import random
import zlib

import msgspec
import pytest

from bergamotthread.clock import Clock
from bergamotthread.platform.relayed_feed import TableHistory
from bergamotthread.platform.store import (
    StoreCallError,
    StoredRow,
    WireRow,
    _decode_rows,
)
from bergamotthread.process.relay.liveness import STREAM_SILENCE_MS
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import MODEL, manifest, route_of
from tests.platform_standins import Deployment, settings

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


def _history(payload):
    async def make():
        history = TableHistory(Clock.from_loop(asyncio.get_running_loop()))
        history.restart(1, 1)
        history.add((StoredRow('config', payload, 2),), 2, 2, is_direct=True)
        return history

    return make()


# Guards against a version that fills the link of an entry for over a second, in
# which all of its streams are silent.
def test_large_version_takes_a_slow_link_no_longer_than_a_stream_may_pause():
    async def check():
        payload = json.dumps(_large_manifest()).encode()
        history = await _history(payload)
        changes = await history.changes_after(1, 0, is_packed=True)
        sent = msgspec.json.encode(changes)
        assert len(sent) / LINK_BYTES_PER_MS < STREAM_SILENCE_MS
        [row] = _decode_rows(changes.rows)
        assert row.payload == payload

    run_in_memory(check())


def test_follower_that_does_not_ask_for_it_gets_rows_as_the_store_has_them():
    """Entries of an earlier release do not know compressed rows."""

    async def check():
        payload = b'x' * 10_000
        history = await _history(payload)
        changes = await history.changes_after(1, 0)
        [wire_row] = changes.rows
        assert not wire_row.is_packed
        [row] = _decode_rows(changes.rows)
        assert row.payload == payload

    run_in_memory(check())


@pytest.mark.parametrize('packed', [b'', b'text', zlib.compress(b'x')[:-2]])
def test_relayed_row_that_cannot_be_decompressed_is_an_error(packed):
    import base64

    encoded = base64.b64encode(packed).decode()
    with pytest.raises(StoreCallError, match='config is not compressed'):
        _decode_rows([WireRow('config', encoded=encoded, is_packed=True)])


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
