"""Decisions of an entry that need no network."""

from __future__ import annotations

import json
import os
import random
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.clock import Clock
from bergamotthread.process.relay.choice import UpstreamChoice, Work
from bergamotthread.process.relay.decision_log import (
    BUFFERED_LINES_MAX,
    LINES_PER_S,
    DecisionLog,
)
from bergamotthread.process.relay.feed_sources import (
    FAILED_MS,
    STORE_FAILED_MS,
    EntryRecord,
    FeedSources,
)
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.process.relay.hash_ring import HashRing
from bergamotthread.process.relay.life_cycle import LifeCycle
from bergamotthread.process.relay.repeat_budget import (
    RepeatBudget,
    RepeatLimits,
)
from bergamotthread.process.relay.upstreams import (
    LOST_MS,
    LoadReport,
    Upstream,
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
from bergamotthread.request.relay.events import (
    EVENT_BYTES_MAX,
    EventSplitter,
    EventTooLongError,
)


@dataclass
class Hand:
    """Clock that a test moves by hand."""

    ms: float = 1000
    suspended_ms: float = 0

    def clock(self) -> Clock:
        return Clock(
            monotonic_s=lambda: self.ms / 1000,
            calendar_s=lambda: self.ms / 1000,
            boot_s=lambda: (self.ms + self.suspended_ms) / 1000,
        )


def _record(instance, domain='a-1', service='s', **more):
    told = {
        'address': f'10.0.0.1:{1000 + hash(instance) % 9000}',
        'state': UpstreamState.READY,
        'born_ms': 1,
        **more,
    }
    return UpstreamRecord(instance, service, failure_domain=domain, **told)


def _directory(hand, count=6, domains=('a-1', 'b-1')):
    directory = UpstreamDirectory(hand.clock())
    for number in range(count):
        domain = domains[number % len(domains)]
        address = f'10.0.0.{number}:80'
        directory.update(_record(f'u{number}', domain, address=address))
    return directory


def _choice(directory):
    regions = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
    return UpstreamChoice(directory, 'a-1', regions, random.Random(3))


def test_younger_incarnation_replaces_the_one_at_its_address():
    hand = Hand()
    directory = UpstreamDirectory(hand.clock())
    directory.update(_record('old', address='10.0.0.1:80', born_ms=5))
    replaced = directory.update(
        _record('new', address='10.0.0.1:80', born_ms=9),
    )
    assert replaced is not None
    assert replaced.record.instance == 'old'
    assert directory.instances() == {'new'}
    directory.update(_record('old', address='10.0.0.1:80', born_ms=5))
    assert directory.instances() == {'new'}


def test_same_name_with_another_birth_is_another_incarnation():
    directory = UpstreamDirectory(Hand().clock())
    directory.update(_record('u', address='10.0.0.1:80', born_ms=5))
    before = directory.get('u')
    directory.update(_record('u', address='10.0.0.1:80', born_ms=7))
    assert directory.get('u') is not before


def test_lost_upstream_is_left_until_it_is_heard_or_time_passes():
    hand = Hand()
    directory = _directory(hand)
    upstream = directory.get('u0')
    directory.record_lost(upstream)
    assert directory.is_lost(upstream)
    directory.record_heard(upstream)
    assert not directory.is_lost(upstream)
    directory.record_lost(upstream)
    hand.ms += LOST_MS
    assert not directory.is_lost(upstream)


def test_two_losses_put_the_failure_domain_in_doubt():
    hand = Hand()
    directory = _directory(hand, count=8)
    hand.ms += 1000
    directory.record_lost(directory.get('u0'))
    assert not directory.is_doubtful(directory.get('u4'))
    directory.record_lost(directory.get('u2'))
    assert directory.is_doubtful(directory.get('u4'))
    assert not directory.is_doubtful(directory.get('u1'))
    hand.ms += 10
    directory.record_heard(directory.get('u4'))
    assert not directory.is_doubtful(directory.get('u4'))


def test_domain_lost_in_silence_gets_no_new_work_while_others_are_there():
    hand = Hand()
    directory = _directory(hand, count=8)
    hand.ms += 1000
    for instance in ('u0', 'u2'):
        directory.record_lost(directory.get(instance))
    choice = _choice(directory)
    work = Work('s', prompt_tokens=8000)
    domains = {
        one.record.failure_domain
        for _ in range(50)
        for one in choice.draw(work)
    }
    assert domains == {'b-1'}


def test_doubtful_upstreams_are_used_where_no_other_is():
    hand = Hand()
    directory = _directory(hand, count=4, domains=('a-1',))
    hand.ms += 1000
    for instance in ('u0', 'u1'):
        directory.record_lost(directory.get(instance))
    chosen = _choice(directory).choose(Work('s', prompt_tokens=1))
    assert chosen.record.instance in {'u2', 'u3'}


def test_candidates_come_from_two_failure_domains():
    hand = Hand()
    directory = _directory(hand, count=40, domains=('a-1',) * 9 + ('b-1',))
    choice = _choice(directory)
    for _ in range(50):
        drawn = choice.draw(Work('s', prompt_tokens=1))
        assert len({one.record.failure_domain for one in drawn}) == 2


MEMBERS = [f'10.0.0.{number}:80' for number in range(30)]


def test_ring_leads_every_entry_to_the_same_members():
    rng = random.Random(5)
    shuffled = rng.sample(MEMBERS, len(MEMBERS))
    for number in range(20):
        key = b'part-%d' % number
        order = list(HashRing(MEMBERS).walk(key))
        assert sorted(order) == sorted(MEMBERS)
        assert order == list(HashRing(shuffled).walk(key))


def test_ring_moves_few_keys_when_a_member_goes():
    ring = HashRing(MEMBERS)
    smaller = HashRing(MEMBERS[1:])
    keys = [b'part-%d' % number for number in range(300)]
    moved = sum(next(ring.walk(key)) != next(smaller.walk(key)) for key in keys)
    gone = sum(next(ring.walk(key)) == MEMBERS[0] for key in keys)
    assert moved == gone
    assert moved < 60


def test_ring_that_changes_equals_one_made_anew():
    ring = HashRing(MEMBERS[:20])
    for member in MEMBERS[20:]:
        ring.add(member)
    for member in MEMBERS[:5]:
        ring.remove(member)
    anew = HashRing(MEMBERS[5:])
    for number in range(20):
        key = b'part-%d' % number
        assert list(ring.walk(key)) == list(anew.walk(key))


def test_ring_without_members_is_empty():
    assert list(HashRing([]).walk(b'key')) == []


def test_prompt_leads_two_entries_to_the_same_candidates():
    work = Work('s', prompt_tokens=8000, affinity=b'part')
    drawn = [
        [
            one.record.instance
            for one in _choice(_directory(Hand(), count=20)).draw(work)
        ]
        for _ in range(2)
    ]
    assert drawn[0] == drawn[1]
    assert len(drawn[0]) == 4


def test_prompts_spread_over_all_upstreams_of_the_region():
    """Load: many prompts of one region, none alike."""
    choice = _choice(_directory(Hand(), count=18, domains=('a-1',)))
    firsts = [
        choice.draw(Work('s', prompt_tokens=1, affinity=b'%d' % number))[0]
        for number in range(400)
    ]
    firsts = [one.record.instance for one in firsts]
    counts = [firsts.count(one) for one in set(firsts)]
    assert len(counts) == 18
    assert max(counts) < 3 * 400 / 18


def test_prompts_stay_in_the_region_unless_it_is_busy():
    directory = _directory(Hand(), count=18)
    choice = _choice(directory)
    work = Work('s', prompt_tokens=8000, affinity=b'part')
    drawn = choice.draw(work)
    domains = [one.record.failure_domain for one in drawn]
    assert domains == ['a-1', 'a-1', 'a-1', 'b-1']
    assert choice.cost_ms(drawn[0], work) < choice.cost_ms(drawn[3], work)
    for near in drawn[:3]:
        near.prefill_tokens = 16_000
    costs = [choice.cost_ms(one, work) for one in drawn]
    assert costs.index(min(costs)) == 3


def test_region_with_few_upstreams_is_not_preferred():
    """Load: prompts of a region that has three of nine engines."""
    choice = _choice(_directory(Hand(), count=9, domains=('a-1', 'b-1', 'c-1')))
    firsts = [
        choice.draw(Work('s', prompt_tokens=1, affinity=b'%d' % number))[0]
        for number in range(200)
    ]
    near = [one for one in firsts if one.record.failure_domain == 'a-1']
    assert 0.15 < len(near) / len(firsts) < 0.55


def test_caller_that_comes_back_is_looked_for_in_every_region():
    work = Work('s', prompt_tokens=8000, affinity=b'part', is_return=True)
    drawn = []
    for domain in ('a-1', 'b-1'):
        choice = _choice(_directory(Hand(), count=18))
        choice.own_domain = domain
        drawn.append([one.record.instance for one in choice.draw(work)])
    assert drawn[0] == drawn[1]
    assert len(drawn[0]) == 6


def test_one_hot_prompt_does_not_overload_its_upstream():
    """Load: one key gets much of the traffic."""
    directory = _directory(Hand(), count=18)
    choice = _choice(directory)
    work = Work('s', prompt_tokens=8000, affinity=b'hot')
    taken = []
    for _ in range(12):
        drawn = choice.draw(work)
        ranks = {one.record.instance: rank for rank, one in enumerate(drawn)}
        chosen = min(
            drawn,
            key=lambda one: (
                choice.cost_ms(one, work)
                + choice.rank_ms(ranks[one.record.instance], work)
            ),
        )
        chosen.prefill_tokens += 8000
        chosen.in_flight += 1
        taken.append(chosen.record.instance)
    assert max(taken.count(one) for one in set(taken)) <= 4


def test_draining_and_other_services_are_never_chosen():
    directory = UpstreamDirectory(Hand().clock())
    directory.update(_record('d', state=UpstreamState.DRAINING, address='a:1'))
    directory.update(_record('o', service='other', address='a:2'))
    assert _choice(directory).choose(Work('s')) is None


def _report(unread: int, at_ms: float = 0) -> LoadReport:
    return LoadReport(0, 1, 8000, 88_000, at_ms, unread)


def test_long_prompts_go_where_fewest_tokens_wait():
    """Load: long prompts, each a second of an engine's time."""
    hand = Hand()
    directory = _directory(hand, count=4, domains=('a-1',))
    for number, unread in enumerate((16_000, 8000, 0, 24_000)):
        directory.get(f'u{number}').report = _report(unread)
    chosen = _choice(directory).choose(Work('s', prompt_tokens=8000))
    assert chosen.record.instance == 'u2'


def test_own_dispatches_count_before_a_report_shows_them():
    """Load: many prompts at once, with reports that are late."""
    directory = _directory(Hand(), count=4, domains=('a-1',))
    choice = _choice(directory)
    work = Work('s', prompt_tokens=8000)
    for number in range(4):
        directory.get(f'u{number}').report = _report(0)
    taken = []
    for _ in range(4):
        upstream = choice.choose(work)
        upstream.prefill_tokens += 8000
        upstream.sent_since_report += 8000
        upstream.in_flight += 1
        taken.append(upstream.record.instance)
    assert len(set(taken)) == 4


def test_upstream_that_fails_its_requests_is_avoided_and_tried_again():
    """Load: an upstream that fails requests while its health is good."""
    hand = Hand()
    directory = _directory(hand, count=2, domains=('a-1',))
    failing = directory.get('u0')
    for _ in range(4):
        directory.record_outcome(failing, failed=True)
    choice = _choice(directory)
    chosen = {choice.choose(Work('s')).record.instance for _ in range(20)}
    assert chosen == {'u1'}
    hand.ms += 60_000
    chosen = {choice.choose(Work('s')).record.instance for _ in range(20)}
    assert chosen == {'u0', 'u1'}


def test_plain_requests_stay_near_until_the_near_one_is_busy():
    directory = _directory(Hand(), count=2)
    choice = _choice(directory)
    assert choice.choose(Work('s')).record.failure_domain == 'a-1'
    directory.get('u0').in_flight = 6
    assert choice.choose(Work('s')).record.failure_domain == 'b-1'


def _budget(hand, entries):
    limits = RepeatLimits(ratio=0.5, window_ms=10_000, slack=12)
    return RepeatBudget(hand.clock(), limits, lambda: entries)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(['first', 'repeat']),
            st.integers(0, 900),
        ),
        max_size=200,
    ),
)
def test_repeats_of_all_entries_stay_within_the_bound(steps):
    """Load: retries at once at every entry."""
    hand = Hand()
    budgets = [_budget(hand, 3) for _ in range(3)]
    firsts: list[float] = []
    repeats: list[float] = []
    for entry, kind, pause_ms in steps:
        hand.ms += pause_ms
        if kind == 'first':
            budgets[entry].record_first('s')
            firsts.append(hand.ms)
        elif budgets[entry].spend('s'):
            repeats.append(hand.ms)
        start_ms = hand.ms - 10_000
        sent = sum(at_ms >= start_ms for at_ms in firsts)
        again = sum(at_ms >= start_ms for at_ms in repeats)
        assert again <= 0.5 * sent + 12


def test_slack_is_shared_by_all_entries():
    hand = Hand()
    budgets = [_budget(hand, 3) for _ in range(3)]
    granted = [budget.spend('s') for _ in range(9) for budget in budgets]
    assert sum(granted) == 12


def test_budget_recovers_when_the_window_has_passed():
    hand = Hand()
    budget = _budget(hand, 1)
    assert sum(budget.spend('s') for _ in range(50)) == 12
    hand.ms += 10_001
    assert budget.spend('s')


def test_proof_of_the_version_grows_old_while_the_machine_sleeps():
    hand = Hand()
    freshness = VersionFreshness(hand.clock(), 5000)
    assert not freshness.admits_keys
    freshness.confirm(freshness.now_ms())
    assert freshness.admits_keys
    hand.ms += 4000
    assert freshness.admits_keys
    assert not freshness.is_ready
    hand.suspended_ms += 1000
    assert not freshness.admits_keys


def test_keys_are_always_trusted_where_no_bound_holds():
    freshness = VersionFreshness(Hand().clock(), None)
    assert freshness.admits_keys
    assert freshness.is_ready


def _sources(hand, own, others):
    sources = FeedSources(hand.clock(), own, 'a')
    for host in others:
        sources.update(EntryRecord(host, f'{host}:1', 'a'))
    return sources


def test_first_entry_of_a_region_asks_the_store_and_the_others_it():
    hand = Hand()
    hosts = ('e1', 'e2', 'e3')
    assert _sources(hand, 'e1', hosts).choose('t') is None
    assert _sources(hand, 'e2', hosts).choose('t').host == 'e1'
    assert _sources(hand, 'e3', hosts).choose('t').host == 'e1'


def test_entries_of_other_regions_are_not_followed():
    sources = FeedSources(Hand().clock(), 'e2', 'a')
    sources.update(EntryRecord('e1', 'e1:1', 'b'))
    assert sources.choose('t') is None


def test_failed_source_is_left_for_a_while():
    hand = Hand()
    sources = _sources(hand, 'e3', ('e1', 'e2', 'e3'))
    sources.record_failure('t', sources.choose('t'))
    assert sources.choose('t').host == 'e2'
    sources.record_failure('t', sources.choose('t'))
    assert sources.choose('t') is None
    hand.ms += FAILED_MS
    assert sources.choose('t').host == 'e1'


def test_first_entry_asks_another_while_the_store_fails_it():
    hand = Hand()
    sources = _sources(hand, 'e1', ('e1', 'e2'))
    sources.record_failure('t', None)
    assert sources.choose('t').host == 'e2'
    assert sources.choose('other') is None
    hand.ms += STORE_FAILED_MS
    assert sources.choose('t') is None


def test_life_cycle_of_a_stop():
    hand = Hand()
    cycle = LifeCycle(hand.clock(), 8000)
    assert not cycle.is_ready
    cycle.version_known()
    assert cycle.is_ready
    cycle.stop()
    assert not cycle.is_ready
    assert not cycle.refuses_streams
    hand.ms += 2000
    cycle.stop()
    cycle.version_known()
    assert cycle.refuses_streams
    assert not cycle.is_ready
    hand.ms += 1000
    assert cycle.is_out_of_rotation
    assert not cycle.must_end
    hand.ms += 4700
    assert cycle.must_end


EVENTS = [b'id: 1\ndata: a\n\n', b'data: b\r\n\r\n', b'id: 3\ndata: c\n\n']


@given(st.data())
def test_events_come_whole_however_they_are_cut(data):
    stream = b''.join(EVENTS)
    cuts = sorted(data.draw(st.sets(st.integers(1, len(stream) - 1))))
    edges = [0, *cuts, len(stream)]
    splitter = EventSplitter()
    events = [
        event
        for start, end in zip(edges, edges[1:], strict=False)
        for event in splitter.feed(stream[start:end])
    ]
    assert [event.payload for event in events] == EVENTS
    assert [event.event_id for event in events] == [1, None, 3]
    assert not splitter.has_partial


def test_part_of_an_event_is_held_and_an_endless_one_refused():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\nda') == []
    assert splitter.has_partial
    with pytest.raises(EventTooLongError, match='expected at most'):
        splitter.feed(b'x' * (EVENT_BYTES_MAX + 1))


def test_log_never_blocks_and_says_what_it_dropped():
    hand = Hand()
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    log = DecisionLog(hand.clock(), 'h', descriptor=writer)
    for _ in range(LINES_PER_S + 5):
        log.write('event', request='r' * 400, age_ms=float('inf'))
    hand.ms += 1000
    log.write('later')
    received = b''
    for _ in range(20):
        log.flush()
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    lines = [json.loads(line) for line in received.splitlines()]
    assert lines[0]['event'] == 'event'
    assert lines[0]['host'] == 'h'
    dropped = [one for one in lines if one['event'] == 'log-lines-dropped']
    assert sum(one['count'] for one in dropped) == 5
    os.close(reader)
    os.close(writer)


def test_log_stays_bounded_while_nobody_reads():
    hand = Hand()
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = DecisionLog(hand.clock(), 'h', descriptor=writer)
    for _ in range(3 * BUFFERED_LINES_MAX):
        hand.ms += 10
        log.write('event', request='r' * 400)
        log.flush()
    assert log.dropped > BUFFERED_LINES_MAX / 2
    os.close(reader)
    os.close(writer)


def test_upstream_counts_are_of_one_incarnation():
    upstream = Upstream(_record('u'))
    assert (upstream.in_flight, upstream.prefill_tokens) == (0, 0)


def _reported(hand, upstream, kv_used, kv_total=88_000):
    upstream.report = LoadReport(0, 0, kv_used, kv_total, at_ms=hand.ms)


def test_copy_goes_where_there_is_room():
    """A full engine refuses what comes to go on from its copy."""
    hand = Hand()
    directory = _directory(hand, count=3, domains=('a-1',))
    choice = _choice(directory)
    upstreams = list(directory.of_service('s'))
    for upstream, kv_used in zip(
        upstreams,
        (60_000, 20_000, 70_000),
        strict=True,
    ):
        _reported(hand, upstream, kv_used)
    assert choice.holder_among(upstreams) is upstreams[1]
    upstreams[1].held_tokens = 50_000
    assert choice.holder_among(upstreams) is upstreams[0]
    assert choice.holder_among([]) is None


def test_queue_of_a_holder_does_not_matter():
    hand = Hand()
    directory = _directory(hand, count=2, domains=('a-1',))
    choice = _choice(directory)
    busy, full = directory.of_service('s')
    _reported(hand, busy, 10_000)
    _reported(hand, full, 80_000)
    busy.prefill_tokens = 40_000
    busy.in_flight = 9
    assert choice.holder_among([busy, full]) is busy
