"""Messages on crashes between entries: their cost, and invalid ones."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from bergamotthread.clock import Clock
from bergamotthread.platform.poison_relay import (
    DEATHS_TOLD_MAX,
    DEATHS_TOLD_PER_S,
    DEATHS_WAITING_MAX,
    PoisonRelay,
)
from bergamotthread.process.poison.death_log import DeathNotice
from bergamotthread.process.relay.feed_sources import EntryRecord, FeedSources
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.testing.virtual_loop import run_virtual
from tests.platform_standins import ListLog

REGIONS = 10
ENTRIES = 324
# Bytes a second that control may cost an entry.
CONTROL_BYTES_PER_S = 16_384


class _Peers:
    """Accepts all messages and counts them."""

    def __init__(self) -> None:
        self.messages: list[bytes] = []
        self.sent = 0

    async def tell(self, entries, path, encoded):
        self.messages.append(encoded)
        self.sent += len(entries)
        return []

    async def ask(self, entry, path):
        return None


def _relay() -> tuple[PoisonRelay, _Peers]:
    clock = Clock.from_loop(asyncio.get_running_loop())
    feeds = FeedSources(clock, 'e0', 'r0')
    for number in range(ENTRIES):
        region = f'r{number % REGIONS}'
        feeds.update(EntryRecord(f'e{number}', f'10.0.0.{number}:1', region))
    peers = _Peers()
    metrics = RelayMetrics.from_clock(clock)
    relay = PoisonRelay(
        clock, peers, feeds, ListLog(clock), metrics, random.Random(1)
    )
    return relay, peers


def _crash(relay: PoisonRelay, number: int) -> None:
    requests = frozenset((10**18 + number, part, part + 1) for part in (7, 9))
    relay.upstream_crashed(DeathNotice(number, 'domain', 0, requests))


# Guards against: a storm of crashes that fills the links between entries.
def test_storm_of_crashes_costs_an_entry_a_bounded_rate():
    async def check():
        relay, peers = _relay()
        task = asyncio.create_task(relay.run())
        seconds = 20
        for number in range(50 * seconds):
            _crash(relay, number)
            await relay.clock.sleep_ms(20)
        task.cancel()
        told = {bytes(message) for message in peers.messages}
        deaths = {
            death[0]
            for message in told
            for death in msgspec.json.decode(message).get('deaths', ())
        }
        per_entry = DEATHS_TOLD_PER_S / ENTRIES
        assert len(deaths) <= DEATHS_TOLD_MAX + per_entry * seconds + 1
        forwarded = [one for one in told if b'"forward":true' in one]
        bytes_per_s = sum(map(len, forwarded)) * ENTRIES / seconds
        assert bytes_per_s <= CONTROL_BYTES_PER_S
        assert len(relay._deaths) <= DEATHS_WAITING_MAX
        assert relay.dropped

    run_virtual(check())


def test_each_region_is_told_once_and_the_own_one_directly():
    async def check():
        relay, peers = _relay()
        task = asyncio.create_task(relay.run())
        _crash(relay, 1)
        await relay.clock.sleep_ms(1000)
        task.cancel()
        local = len(relay.feeds.local_entries())
        assert peers.sent == local + REGIONS - 1

    run_virtual(check())


@pytest.mark.parametrize(
    'message',
    [
        b'',
        b'[]',
        b'{"host":"h","deaths":[[1]]}',
        b'{"host":"h","deaths":[[-1,"d",0,[[1]]]]}',
        b'{"host":"h","deaths":[[1,"d",-5,[[1]]]]}',
        b'{"host":"h","deaths":[[1,"d",0,[[]]]]}',
        b'{"host":"h","cleared":["x"]}',
        b'{"host":"h","quarantines":[[1,3,-1]]}',
        b'{"host":"h","cleared":[%b]}' % b','.join([b'1'] * 300),
    ],
)
def test_invalid_message_of_another_entry_decides_nothing(message):
    async def check():
        relay, _ = _relay()
        assert relay.answer(b'POST', message) is None
        assert not relay.guard.open_deaths()
        assert not relay.guard.quarantines()

    run_virtual(check())


# Guards against: a crash under no own request, merged with what another entry
# told of it, that makes the answer to an entry that starts invalid.
def test_all_that_is_known_can_be_read_after_a_crash_under_no_own_request():
    async def check():
        relay, _ = _relay()
        starting, _ = _relay()
        relay.guard.record_death('u1', 'domain', 1)
        relay.guard.merge_death(
            DeathNotice(1, 'domain', 10, frozenset(((5,),)), sent_age_ms=90)
        )
        [known] = relay.guard.open_deaths()
        assert known.sent_age_ms == pytest.approx(90)
        assert starting.apply(relay.answer(b'GET', b''))
        assert starting.guard.open_deaths()

    run_virtual(check())
