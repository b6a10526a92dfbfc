"""Tests of the decisions of an entry, without a network."""

from __future__ import annotations

import json
import os
import random
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.clock import Clock
from bergamotthread.connection.event_buffer import (
    EVENT_BYTES_MAX,
    EventTooLongError,
)
from bergamotthread.process.relay.choice import (
    RelayPlacementRequest,
    UpstreamChoice,
)
from bergamotthread.process.relay.decision_log import (
    BUFFERED_LINES_MAX,
    LINES_PER_S_MAX,
    DecisionLog,
)
from bergamotthread.process.relay.feed_sources import (
    ENTRY_BACKOFF_MS,
    STORE_BACKOFF_MS,
    EntryRecord,
    FeedSources,
)
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.process.relay.hash_ring import HashRing
from bergamotthread.process.relay.life_cycle import LifeCycle
from bergamotthread.process.relay.repeat_budget import (
    ServiceRetryBudget,
    ServiceRetryLimits,
)
from bergamotthread.process.relay.upstreams import (
    LOST_RETRY_MS,
    LoadReport,
    Upstream,
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
from bergamotthread.request.relay.events import (
    EventSplitter,
)


@dataclass
class ManualClock:
    """Clock that a test advances."""

    now_ms: float = 1000
    suspended_ms: float = 0

    def clock(self) -> Clock:
        return Clock(
            monotonic_s=lambda: self.now_ms / 1000,
            calendar_s=lambda: self.now_ms / 1000,
            boot_s=lambda: (self.now_ms + self.suspended_ms) / 1000,
        )


def _record(instance, domain='a-1', service='s', **more):
    fields = {
        'address': f'10.0.0.1:{1000 + hash(instance) % 9000}',
        'state': UpstreamState.READY,
        'started_ms': 1,
        **more,
    }
    return UpstreamRecord(instance, service, failure_domain=domain, **fields)


def _directory(manual_clock, count=6, domains=('a-1', 'b-1')):
    directory = UpstreamDirectory(manual_clock.clock())
    for number in range(count):
        domain = domains[number % len(domains)]
        address = f'10.0.0.{number}:80'
        directory.update(_record(f'u{number}', domain, address=address))
    return directory


def _choice(directory):
    regions = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
    return UpstreamChoice(directory, 'a-1', regions, random.Random(3))


def test_newer_incarnation_replaces_the_older_one_at_its_address():
    """A late record of an ended incarnation must not bring it back."""
    manual_clock = ManualClock()
    directory = UpstreamDirectory(manual_clock.clock())
    directory.update(_record('old', address='10.0.0.1:80', started_ms=5))
    replaced = directory.update(
        _record('new', address='10.0.0.1:80', started_ms=9),
    )
    assert replaced is not None
    assert replaced.record.instance == 'old'
    assert directory.instances() == {'new'}
    directory.update(_record('old', address='10.0.0.1:80', started_ms=5))
    assert directory.instances() == {'new'}


def test_same_instance_with_another_start_time_is_a_new_upstream():
    directory = UpstreamDirectory(ManualClock().clock())
    directory.update(_record('u', address='10.0.0.1:80', started_ms=5))
    before = directory.get('u')
    directory.update(_record('u', address='10.0.0.1:80', started_ms=7))
    assert directory.get('u') is not before


def test_lost_upstream_is_not_used_until_heard_or_time_passes():
    manual_clock = ManualClock()
    directory = _directory(manual_clock)
    upstream = directory.get('u0')
    directory.record_lost(upstream)
    assert directory.is_lost(upstream)
    directory.record_heard(upstream)
    assert not directory.is_lost(upstream)
    directory.record_lost(upstream)
    manual_clock.now_ms += LOST_RETRY_MS
    assert not directory.is_lost(upstream)


def test_two_losses_make_the_failure_domain_suspected():
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=8)
    manual_clock.now_ms += 1000
    directory.record_lost(directory.get('u0'))
    assert not directory.is_suspected(directory.get('u4'))
    directory.record_lost(directory.get('u2'))
    assert directory.is_suspected(directory.get('u4'))
    assert not directory.is_suspected(directory.get('u1'))
    manual_clock.now_ms += 10
    directory.record_heard(directory.get('u4'))
    assert not directory.is_suspected(directory.get('u4'))


def test_suspected_domain_gets_no_requests_while_others_are_healthy():
    """Upstreams of a failed domain are not all marked lost at once."""
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=8)
    manual_clock.now_ms += 1000
    for instance in ('u0', 'u2'):
        directory.record_lost(directory.get(instance))
    choice = _choice(directory)
    request = RelayPlacementRequest('s', prompt_tokens=8000)
    domains = {
        upstream.record.failure_domain
        for _ in range(50)
        for upstream in choice.draw_candidates(request)
    }
    assert domains == {'b-1'}


def test_suspected_upstreams_are_used_if_there_are_no_others():
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=4, domains=('a-1',))
    manual_clock.now_ms += 1000
    for instance in ('u0', 'u1'):
        directory.record_lost(directory.get(instance))
    chosen = _choice(directory).choose(
        RelayPlacementRequest('s', prompt_tokens=1)
    )
    assert chosen.record.instance in {'u2', 'u3'}


def test_candidates_come_from_two_failure_domains():
    """The loss of one domain must not hit all candidates of a request."""
    manual_clock = ManualClock()
    directory = _directory(
        manual_clock, count=40, domains=('a-1',) * 9 + ('b-1',)
    )
    choice = _choice(directory)
    for _ in range(50):
        drawn = choice.draw_candidates(
            RelayPlacementRequest('s', prompt_tokens=1)
        )
        assert len({upstream.record.failure_domain for upstream in drawn}) == 2


MEMBERS = [f'10.0.0.{number}:80' for number in range(30)]


def test_ring_order_does_not_depend_on_the_order_of_members():
    """Entries list members in different orders and must agree for each key."""
    rng = random.Random(5)
    shuffled = rng.sample(MEMBERS, len(MEMBERS))
    for number in range(20):
        key = b'part-%d' % number
        order = list(HashRing(MEMBERS).walk(key))
        assert sorted(order) == sorted(MEMBERS)
        assert order == list(HashRing(shuffled).walk(key))


def test_ring_moves_only_the_keys_of_a_removed_member():
    """The loss of one upstream must not move the cached prompts of others."""
    ring = HashRing(MEMBERS)
    smaller = HashRing(MEMBERS[1:])
    keys = [b'part-%d' % number for number in range(300)]
    moved = sum(next(ring.walk(key)) != next(smaller.walk(key)) for key in keys)
    gone = sum(next(ring.walk(key)) == MEMBERS[0] for key in keys)
    assert moved == gone
    assert moved < 60


def test_changed_ring_equals_a_new_ring_of_the_same_members():
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


def test_two_entries_draw_the_same_candidates_for_a_prompt():
    request = RelayPlacementRequest('s', prompt_tokens=8000, affinity=b'part')
    drawn = [
        [
            upstream.record.instance
            for upstream in _choice(
                _directory(ManualClock(), count=20)
            ).draw_candidates(request)
        ]
        for _ in range(2)
    ]
    assert drawn[0] == drawn[1]
    assert len(drawn[0]) == 4


def test_prompts_spread_over_all_upstreams_of_the_region():
    """Different prompts of one region must not go to a few upstreams only."""
    choice = _choice(_directory(ManualClock(), count=18, domains=('a-1',)))
    firsts = [
        choice.draw_candidates(
            RelayPlacementRequest('s', prompt_tokens=1, affinity=b'%d' % number)
        )[0]
        for number in range(400)
    ]
    firsts = [upstream.record.instance for upstream in firsts]
    counts = [firsts.count(instance) for instance in set(firsts)]
    assert len(counts) == 18
    assert max(counts) < 3 * 400 / 18


def test_prompts_stay_in_the_region_until_its_upstreams_are_busy():
    directory = _directory(ManualClock(), count=18)
    choice = _choice(directory)
    request = RelayPlacementRequest('s', prompt_tokens=8000, affinity=b'part')
    drawn = choice.draw_candidates(request)
    domains = [upstream.record.failure_domain for upstream in drawn]
    assert domains == ['a-1', 'a-1', 'a-1', 'b-1']
    assert choice.cost_ms(drawn[0], request) < choice.cost_ms(drawn[3], request)
    for local in drawn[:3]:
        local.prefill_tokens = 16_000
    costs = [choice.cost_ms(upstream, request) for upstream in drawn]
    assert costs.index(min(costs)) == 3


def test_region_with_few_upstreams_is_not_preferred():
    """Three of nine engines must not run all prompts of their region."""
    choice = _choice(
        _directory(ManualClock(), count=9, domains=('a-1', 'b-1', 'c-1'))
    )
    firsts = [
        choice.draw_candidates(
            RelayPlacementRequest('s', prompt_tokens=1, affinity=b'%d' % number)
        )[0]
        for number in range(200)
    ]
    local = [
        upstream
        for upstream in firsts
        if upstream.record.failure_domain == 'a-1'
    ]
    assert 0.15 < len(local) / len(firsts) < 0.55


def test_reconnect_has_the_same_candidates_in_every_region():
    """The caller may reconnect through another region than before."""
    request = RelayPlacementRequest(
        's', prompt_tokens=8000, affinity=b'part', is_reconnect=True
    )
    drawn = []
    for domain in ('a-1', 'b-1'):
        choice = _choice(_directory(ManualClock(), count=18))
        choice.own_domain = domain
        drawn.append(
            [
                upstream.record.instance
                for upstream in choice.draw_candidates(request)
            ],
        )
    assert drawn[0] == drawn[1]
    assert len(drawn[0]) == 6


def test_frequent_prompt_does_not_overload_its_preferred_upstream():
    """Requests that all have one affinity key must spread over upstreams."""
    directory = _directory(ManualClock(), count=18)
    choice = _choice(directory)
    request = RelayPlacementRequest('s', prompt_tokens=8000, affinity=b'hot')
    taken = []
    for _ in range(12):
        drawn = choice.draw_candidates(request)
        ranks = {
            upstream.record.instance: rank
            for rank, upstream in enumerate(drawn)
        }
        chosen = min(
            drawn,
            key=lambda upstream: (
                choice.cost_ms(upstream, request)
                + choice.affinity_cost_ms(
                    upstream, ranks[upstream.record.instance], request
                )
            ),
        )
        chosen.prefill_tokens += 8000
        chosen.in_flight += 1
        taken.append(chosen.record.instance)
    assert max(taken.count(instance) for instance in set(taken)) <= 4


def test_draining_and_other_services_are_never_chosen():
    """A request there would be refused or answered by the wrong service."""
    directory = UpstreamDirectory(ManualClock().clock())
    directory.update(_record('d', state=UpstreamState.DRAINING, address='a:1'))
    directory.update(_record('o', service='other', address='a:2'))
    assert _choice(directory).choose(RelayPlacementRequest('s')) is None


def _report(unread: int, at_ms: float = 0) -> LoadReport:
    return LoadReport(0, 1, 8000, 88_000, at_ms, unread)


def test_long_prompts_go_where_the_fewest_tokens_wait():
    """Each long prompt takes a second of prefill, so queues must stay even."""
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=4, domains=('a-1',))
    for number, unread in enumerate((16_000, 8000, 0, 24_000)):
        directory.get(f'u{number}').report = _report(unread)
    chosen = _choice(directory).choose(
        RelayPlacementRequest('s', prompt_tokens=8000)
    )
    assert chosen.record.instance == 'u2'


def test_own_requests_count_before_a_load_report_shows_them():
    """Prompts that come at once must not all go to one upstream.

    Load reports are late, so they still show the upstream as idle.
    """
    directory = _directory(ManualClock(), count=4, domains=('a-1',))
    choice = _choice(directory)
    request = RelayPlacementRequest('s', prompt_tokens=8000)
    for number in range(4):
        directory.get(f'u{number}').report = _report(0)
    taken = []
    for _ in range(4):
        upstream = choice.choose(request)
        upstream.prefill_tokens += 8000
        upstream.sent_since_report += 8000
        upstream.in_flight += 1
        taken.append(upstream.record.instance)
    assert len(set(taken)) == 4


def test_upstream_that_fails_requests_is_avoided_then_tried_again():
    """An upstream may fail requests although it answers probes."""
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=2, domains=('a-1',))
    failing = directory.get('u0')
    for _ in range(4):
        directory.record_outcome(failing, failed=True)
    choice = _choice(directory)
    chosen = {
        choice.choose(RelayPlacementRequest('s')).record.instance
        for _ in range(20)
    }
    assert chosen == {'u1'}
    manual_clock.now_ms += 60_000
    chosen = {
        choice.choose(RelayPlacementRequest('s')).record.instance
        for _ in range(20)
    }
    assert chosen == {'u0', 'u1'}


def test_plain_requests_stay_in_the_region_until_it_is_busy():
    directory = _directory(ManualClock(), count=2)
    choice = _choice(directory)
    assert (
        choice.choose(RelayPlacementRequest('s')).record.failure_domain == 'a-1'
    )
    directory.get('u0').in_flight = 6
    assert (
        choice.choose(RelayPlacementRequest('s')).record.failure_domain == 'b-1'
    )


def _budget(manual_clock, entries):
    limits = ServiceRetryLimits(ratio=0.5, window_ms=10_000, slack=12)
    return ServiceRetryBudget(manual_clock.clock(), limits, lambda: entries)


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
    """Retries that all entries send at once must not multiply the load."""
    manual_clock = ManualClock()
    budgets = [_budget(manual_clock, 3) for _ in range(3)]
    firsts: list[float] = []
    retries: list[float] = []
    for entry, kind, pause_ms in steps:
        manual_clock.now_ms += pause_ms
        if kind == 'first':
            budgets[entry].record_first_attempt('s')
            firsts.append(manual_clock.now_ms)
        elif budgets[entry].spend('s'):
            retries.append(manual_clock.now_ms)
        start_ms = manual_clock.now_ms - 10_000
        sent = sum(at_ms >= start_ms for at_ms in firsts)
        retried = sum(at_ms >= start_ms for at_ms in retries)
        assert retried <= 0.5 * sent + 12


def test_slack_is_shared_by_all_entries():
    """Entries don't coordinate, and each one may have retries at once."""
    manual_clock = ManualClock()
    budgets = [_budget(manual_clock, 3) for _ in range(3)]
    granted = [bool(budget.spend('s')) for _ in range(9) for budget in budgets]
    assert sum(granted) == 12


def test_retry_budget_recovers_after_the_window():
    manual_clock = ManualClock()
    budget = _budget(manual_clock, 1)
    assert sum(bool(budget.spend('s')) for _ in range(50)) == 12
    manual_clock.now_ms += 10_001
    assert budget.spend('s')


def test_version_confirmation_ages_while_the_machine_is_suspended():
    """Keys revoked during a suspend must not be accepted after it."""
    manual_clock = ManualClock()
    freshness = VersionFreshness(manual_clock.clock(), 5000)
    assert not freshness.may_accept_keys
    freshness.confirm(freshness.now_ms())
    assert freshness.may_accept_keys
    manual_clock.now_ms += 4000
    assert freshness.may_accept_keys
    assert not freshness.is_ready
    manual_clock.suspended_ms += 1000
    assert not freshness.may_accept_keys


def test_keys_are_always_trusted_without_a_revoke_bound():
    freshness = VersionFreshness(ManualClock().clock(), None)
    assert freshness.may_accept_keys
    assert freshness.is_ready


def _sources(manual_clock, own, others):
    sources = FeedSources(manual_clock.clock(), own, 'a')
    for host in others:
        sources.update(EntryRecord(host, f'{host}:1', 'a'))
    return sources


def test_first_entry_of_a_region_reads_the_store_others_read_from_it():
    manual_clock = ManualClock()
    hosts = ('e1', 'e2', 'e3')
    assert _sources(manual_clock, 'e1', hosts).choose('t') is None
    assert _sources(manual_clock, 'e2', hosts).choose('t').host == 'e1'
    assert _sources(manual_clock, 'e3', hosts).choose('t').host == 'e1'


def test_entries_of_other_regions_are_no_sources():
    sources = FeedSources(ManualClock().clock(), 'e2', 'a')
    sources.update(EntryRecord('e1', 'e1:1', 'b'))
    assert sources.choose('t') is None


def test_failed_source_is_not_asked_for_a_while():
    """The next entry by name takes its place, and at last the store."""
    manual_clock = ManualClock()
    sources = _sources(manual_clock, 'e3', ('e1', 'e2', 'e3'))
    sources.record_failure('t', sources.choose('t'))
    assert sources.choose('t').host == 'e2'
    sources.record_failure('t', sources.choose('t'))
    assert sources.choose('t') is None
    manual_clock.now_ms += ENTRY_BACKOFF_MS
    assert sources.choose('t').host == 'e1'


def test_first_entry_reads_from_another_while_the_store_fails():
    manual_clock = ManualClock()
    sources = _sources(manual_clock, 'e1', ('e1', 'e2'))
    sources.record_failure('t', None)
    assert sources.choose('t').host == 'e2'
    assert sources.choose('other') is None
    manual_clock.now_ms += STORE_BACKOFF_MS
    assert sources.choose('t') is None


def test_life_cycle_from_start_to_the_end_of_a_drain():
    manual_clock = ManualClock()
    cycle = LifeCycle(manual_clock.clock(), 8000)
    assert not cycle.is_ready
    cycle.mark_ready()
    assert cycle.is_ready
    cycle.stop()
    assert not cycle.is_ready
    assert not cycle.refuses_streams
    manual_clock.now_ms += 2000
    cycle.stop()
    cycle.mark_ready()
    assert cycle.refuses_streams
    assert not cycle.is_ready
    manual_clock.now_ms += 1000
    assert cycle.is_out_of_rotation
    assert not cycle.must_end
    manual_clock.now_ms += 4700
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


def test_partial_event_is_buffered_and_a_too_long_one_refused():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\nda') == []
    assert splitter.has_partial
    with pytest.raises(EventTooLongError, match='expected at most'):
        splitter.feed(b'x' * (EVENT_BYTES_MAX + 1))


def test_log_never_blocks_and_reports_dropped_lines():
    manual_clock = ManualClock()
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    log = DecisionLog(manual_clock.clock(), 'h', descriptor=writer)
    for _ in range(LINES_PER_S_MAX + 5):
        log.write('event', request='r' * 400, age_ms=float('inf'))
    manual_clock.now_ms += 1000
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
    dropped = [line for line in lines if line['event'] == 'log-lines-dropped']
    assert sum(line['count'] for line in dropped) == 5
    os.close(reader)
    os.close(writer)


def test_log_buffer_stays_bounded_while_nobody_reads():
    """A reader that hangs must not make the process run out of memory."""
    manual_clock = ManualClock()
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = DecisionLog(manual_clock.clock(), 'h', descriptor=writer)
    for _ in range(3 * BUFFERED_LINES_MAX):
        manual_clock.now_ms += 10
        log.write('event', request='r' * 400)
        log.flush()
    assert log.dropped > BUFFERED_LINES_MAX / 2
    os.close(reader)
    os.close(writer)


def test_new_incarnation_starts_without_load():
    upstream = Upstream(_record('u'))
    assert (upstream.in_flight, upstream.prefill_tokens) == (0, 0)


def _reported(manual_clock, upstream, kv_used, kv_total=88_000):
    upstream.report = LoadReport(
        0, 0, kv_used, kv_total, at_ms=manual_clock.now_ms
    )


def test_copy_goes_to_the_upstream_with_most_free_kv_cache():
    """A full engine refuses runs that resume from the copy that it holds."""
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=3, domains=('a-1',))
    choice = _choice(directory)
    upstreams = list(directory.of_service('s'))
    for upstream, kv_used in zip(
        upstreams,
        (60_000, 20_000, 70_000),
        strict=True,
    ):
        _reported(manual_clock, upstream, kv_used)
    assert choice.copy_holder_among(upstreams, 8000) is upstreams[1]
    upstreams[1].held_tokens = 50_000
    assert choice.copy_holder_among(upstreams, 8000) is upstreams[0]
    assert choice.copy_holder_among([], 8000) is None


def test_copy_takes_no_memory_that_prompts_wait_for():
    """With a copy of each run, the engines hold half as many runs."""
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=2, domains=('a-1',))
    choice = _choice(directory)
    used, queueing = directory.of_service('s')
    queueing.report = LoadReport(
        3, 2, 10_000, 88_000, manual_clock.now_ms, waiting_tokens=24_000
    )
    _reported(manual_clock, used, 71_000)
    assert choice.copy_holder_among([used, queueing], 8000) is used
    _reported(manual_clock, used, 72_000)
    assert choice.copy_holder_among([used, queueing], 8000) is None


def test_queue_of_a_copy_holder_does_not_matter():
    """A resumed run is admitted before queued ones, but needs free KV cache."""
    manual_clock = ManualClock()
    directory = _directory(manual_clock, count=2, domains=('a-1',))
    choice = _choice(directory)
    busy, full = directory.of_service('s')
    _reported(manual_clock, busy, 10_000)
    _reported(manual_clock, full, 80_000)
    busy.prefill_tokens = 40_000
    busy.in_flight = 9
    assert choice.copy_holder_among([busy, full], 8000) is busy


def test_retry_that_was_not_sent_leaves_its_room_in_the_budget():
    """Failed connections used up the budget while the own link was busy."""
    manual_clock = ManualClock()
    budget = ServiceRetryBudget(
        manual_clock.clock(), ServiceRetryLimits(0, 10_000, 2), lambda: 1
    )
    unsent = budget.spend('s')
    manual_clock.now_ms += 4000
    assert budget.spend('s')
    assert not budget.has_room('s')
    budget.refund('s', unsent)
    assert budget.spend('s')
    # The retry that was sent counts for its whole window.
    manual_clock.now_ms += 9000
    assert not budget.has_room('s')
    manual_clock.now_ms += 1001
    assert budget.has_room('s')
