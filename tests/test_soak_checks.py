"""Each check of the soak passes valid records and fails on changed ones.

Guards against checks that can no longer find the violation of their rule.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from soak.checks import findings_of
from soak.limit_checks import check_builds, check_limits
from soak.plan import FaultKind
from soak.poison_checks import check_poison
from soak.records import (
    Call,
    Crash,
    Ending,
    EntryKill,
    Kind,
    Memory,
    Notice,
    NoticeKind,
    PlannedStop,
    PlayedFault,
    PublicationRecord,
    Records,
    Rollout,
    Run,
)
from soak.rollout_checks import check_rollouts
from standins.platform_runner import event_of


def _events(request: str, numbers=range(1, 61)) -> bytes:
    return b''.join(event_of(request.encode(), number) for number in numbers)


def _call(request: str, kind: Kind = Kind.ONCE, **more) -> Call:
    fields = {
        'path': str(kind),
        'key': 'key-0',
        'entry': 'entry0',
        'incarnation': 1,
        'sent_ms': 20_000.0,
        'ended_ms': 21_000.0,
        'ending': Ending.WHOLE,
        'status': 200,
        'sealed': True,
        'body': _events(request) if kind.is_stream else request.encode(),
        **more,
    }
    return Call(request, kind, **fields)


def _valid_records() -> Records:
    """Return records of a soak without violations."""
    records = Records()
    records.calls = [
        _call('a'),
        _call('b', Kind.STREAM),
        _call(
            'c',
            Kind.LOOKUP,
            path='/added/',
            entry='entry2',
            sent_ms=30_000.0,
            ended_ms=31_000.0,
        ),
        _call('d', status=503, sealed=False, body=b'{}'),
        _call('e', Kind.STREAM, ending=Ending.LEFT, body=_events('e', [1, 2])),
        _call('f', key='key-9', status=401, sealed=False, body=b'{}'),
    ]
    records.runs = [
        Run('a', 'r0', 20_100, 20_200),
        Run('b', 'r0', 20_100, 20_900),
        Run('b', 'r1', 20_900, 21_000),
        Run('c', 'r0', 30_100, 30_200),
        Run('e', 'r0', 20_100, 21_300),
    ]
    records.publications = [
        PublicationRecord(1, 1000),
        PublicationRecord(2, 5000, path='/added/'),
        PublicationRecord(3, 8000, revoked='key-9'),
    ]
    records.planned_stops = [PlannedStop('entry1', 1, 40_000, 45_000)]
    records.memory = [
        Memory(
            'entry0-1', tuple((second * 1000.0, 20.0) for second in range(600))
        ),
    ]
    records.lines_by_request = {'d': ['{"event":"refused"}']}
    return records


def _rules(records: Records) -> set[str]:
    return {finding.rule for finding in findings_of(records)}


def _replace_call(records: Records, name: str, **more) -> None:
    records.calls = [
        replace(call, **more) if call.request == name else call
        for call in records.calls
    ]


def test_valid_records_give_no_findings():
    assert findings_of(_valid_records()) == []


@pytest.mark.parametrize(
    ('request_name', 'mutant', 'rule'),
    [
        ('a', {'sealed': False}, 'whole'),
        ('a', {'body': b'b'}, 'whole'),
        ('b', {'body': _events('b', range(1, 60))}, 'order'),
        ('b', {'body': _events('b', [*range(1, 31), *range(30, 61)])}, 'order'),
        ('b', {'body': _events('b') + b'id: 61\n'}, 'order'),
        (
            'b',
            {'body': _events('b', range(1, 60)) + _events('x', [60])},
            'mixed',
        ),
        ('e', {'body': _events('e', [1, 3])}, 'order'),
        ('d', {'status': 500}, None),
        ('d', {'request': 'h', 'status': 502}, 'explained'),
        ('a', {'status': 503, 'sealed': False}, 'refused'),
        ('a', {'key': 'key-9'}, 'keys'),
        ('c', {'status': 404, 'sealed': False}, 'in force'),
        ('d', {'ending': Ending.UNANSWERED}, 'answered'),
        ('a', {'entry': 'entry1', 'sent_ms': 46_000.0}, 'drain'),
    ],
)
def test_changed_answer_is_found(request_name, mutant, rule):
    records = _valid_records()
    _replace_call(records, request_name, **mutant)
    assert _rules(records) >= ({rule} if rule else set())
    assert rule or not _rules(records)


@pytest.mark.parametrize(
    ('left_ms', 'rules'),
    [
        (90, set()),
        (110, {'explained'}),
        (-0.5, set()),
        (-1100, {'explained'}),
    ],
)
def test_log_line_may_be_missing_shortly_before_a_kill(
    left_ms,
    rules,
):
    records = _valid_records()
    records.lines_by_request = {}
    records.entry_kills = [EntryKill('entry0', 1, 21_000 + left_ms)]
    assert _rules(records) == rules


def test_second_run_of_a_request_that_runs_once_is_found():
    records = _valid_records()
    records.runs.append(Run('a', 'r2', 22_000, 22_100))
    assert _rules(records) == {'twice'}


def test_run_after_a_refusal_that_said_not_run_is_found():
    records = _valid_records()
    records.runs.append(Run('d', 'r2', 50_000, 50_100))
    assert _rules(records) == {'refused'}


def test_route_that_an_entry_forgets_is_found_also_during_faults():
    records = _valid_records()
    records.played_faults = [PlayedFault('busy-store', '0', 0, 99_000)]
    late_call = _call(
        'g',
        Kind.LOOKUP,
        path='/added/',
        entry='entry2',
        status=404,
        sealed=False,
        sent_ms=40_000.0,
        ended_ms=40_100.0,
    )
    records.calls.append(late_call)
    assert _rules(records) == {'reverts'}
    records.calls[-1] = replace(late_call, incarnation=2)
    assert _rules(records) == set()


def test_late_version_during_a_fault_is_allowed():
    records = _valid_records()
    _replace_call(records, 'c', status=404, sealed=False)
    records.played_faults = [PlayedFault('pause-store', '0', 26_000, 27_000)]
    assert _rules(records) == set()


@pytest.mark.parametrize('ended_ms', [None, 49_500])
def test_entry_that_runs_after_its_grace_time_is_found(ended_ms):
    records = _valid_records()
    records.planned_stops = [PlannedStop('entry1', 1, 40_000, ended_ms)]
    assert _rules(records) == {'drain'}


def _pause(entry: int, until_ms: float) -> PlayedFault:
    return PlayedFault('pause-entry', str(entry), 39_000, until_ms)


@pytest.mark.parametrize(
    ('sent_ms', 'pauses', 'rules'),
    [
        (46_300.0, [_pause(1, 45_000)], set()),
        (50_600.0, [_pause(1, 45_000)], {'drain'}),
        (46_300.0, [_pause(2, 45_000)], {'drain'}),
        (46_300.0, [_pause(1, 39_900)], {'drain'}),
        (46_300.0, [_pause(1, 45_000), _pause(1, 40_100)], {'drain'}),
    ],
)
def test_time_for_new_work_counts_from_when_the_process_runs(
    sent_ms, pauses, rules
):
    """A paused process receives the request to stop when it continues."""
    records = _valid_records()
    _replace_call(records, 'a', entry='entry1', sent_ms=sent_ms)
    records.played_faults = pauses
    assert _rules(records) == rules


def test_request_cut_by_a_planned_stop_is_found():
    records = _valid_records()
    records.planned_stops = [PlannedStop('entry0', 1, 20_500, 24_000)]
    _replace_call(records, 'a', ending=Ending.CUT, status=0)
    assert _rules(records) == {'planned stop'}
    records.played_faults = [PlayedFault('kill-runner', '0', 18_000, 19_000)]
    assert _rules(records) == set()


def test_retries_beyond_the_budget_are_found():
    records = _valid_records()
    for number in range(160):
        records.runs.append(Run('b', 'r1', 21_000 + number, 21_100 + number))
    assert _rules(records) == {'repeats'}


def test_work_for_callers_that_left_is_found():
    records = _valid_records()
    for name in ('x', 'y', 'z'):
        abandoned = _call(name, Kind.STREAM, ending=Ending.LEFT, body=b'')
        records.calls.append(abandoned)
        records.runs.append(Run(name, 'r0', 20_100, 23_000))
    assert _rules(records) == {'gone'}


@pytest.mark.parametrize(
    'points',
    [
        tuple(
            (second * 1000.0, 20 + second * 0.6 / 60) for second in range(600)
        ),
        ((0.0, 20.0), (1000.0, 129.0)),
    ],
)
def test_memory_that_grows_is_found(points):
    records = _valid_records()
    records.memory = [Memory('entry0-1', points)]
    assert _rules(records) == {'memory'}


def _add_run(records: Records, name: str, at_ms: float, **more) -> None:
    """Add a plain request whose answer arrives 300 ms after it ran."""
    call = _call(
        name,
        sent_ms=at_ms,
        ended_ms=at_ms + 300,
        **{'answered_ms': at_ms + 300, **more},
    )
    records.calls.append(call)
    records.runs.append(Run(name, 'runner1-1', at_ms, at_ms + 300))


def _leaving_records(**more) -> Records:
    """Return records of a request that ran 3.1 s after its entry knew."""
    records = _valid_records()
    _add_run(records, 'x', 60_000)
    records.notices = [Notice(NoticeKind.LEAVING, 'x', 'runner1-1', 60_000)]
    _add_run(records, 'y', 63_400, **more)
    return records


def test_request_to_a_runner_known_to_leave_is_found():
    assert _rules(_leaving_records()) == {'leaving'}


@pytest.mark.parametrize(
    'more', [{'entry': 'entry2'}, {'incarnation': 2}], ids=str
)
def test_entry_may_not_know_that_a_runner_leaves(more):
    assert _rules(_leaving_records(**more)) == set()


def test_request_soon_after_a_runner_said_that_it_leaves_is_allowed():
    records = _leaving_records()
    records.runs[-1] = replace(records.runs[-1], at_ms=63_200)
    assert _rules(records) == set()


def test_restarted_runner_does_not_leave():
    records = _leaving_records()
    records.runs[-1] = replace(records.runs[-1], runner='runner1-2')
    assert _rules(records) == set()


def test_answer_of_another_runner_does_not_tell_that_one_leaves():
    """The head of the answer may come from the other run."""
    records = _leaving_records()
    _replace_call(records, 'x', kind=Kind.STREAM, body=_events('x'))
    records.runs.append(Run('x', 'runner2-1', 60_100, 60_200))
    assert _rules(records) == set()


@pytest.mark.parametrize(
    ('kind', 'target', 'rules'),
    [
        ('pause-entry', '0', set()),
        ('pause-entry', '1', {'leaving'}),
        ('cut-link-up', '1', set()),
        ('cut-link-up', '11', {'leaving'}),
        ('delay-link', '1', {'leaving'}),
    ],
)
def test_frozen_entry_may_send_late_to_a_leaving_runner(kind, target, rules):
    records = _leaving_records()
    records.played_faults = [PlayedFault(kind, target, 61_000, 62_000)]
    assert _rules(records) == rules


def _pause_records(arrival_times_ms, **more) -> Records:
    """Return records of requests to a runner that wants none for 2 s."""
    records = _valid_records()
    refused = _call('x', status=503, sealed=False, sent_ms=60_000.0)
    records.calls.append(refused)
    records.lines_by_request['x'] = ['{"event":"refused"}']
    records.notices = [
        Notice(NoticeKind.PAUSED, 'x', 'runner1-1', 60_000, 2000),
    ]
    for at_ms in arrival_times_ms:
        _add_run(records, f'y{at_ms}', at_ms, **more)
    return records


@pytest.mark.parametrize(
    ('arrival_times_ms', 'rules'),
    [
        ((60_100, 60_200, 60_500, 60_600, 61_900), set()),
        ((60_600, 61_000, 61_900), {'pauses'}),
        ((60_600, 61_000, 62_100), set()),
    ],
)
def test_requests_to_a_runner_without_room_are_found(arrival_times_ms, rules):
    assert _rules(_pause_records(arrival_times_ms)) == rules


def test_refused_requests_count_as_sent_to_a_runner_without_room():
    records = _pause_records((60_600, 61_000))
    records.calls.append(replace(records.calls[-1], request='z', body=b'z'))
    records.notices.append(
        Notice(NoticeKind.PAUSED, 'z', 'runner1-1', 61_900, 1000),
    )
    assert _rules(records) == {'pauses'}


@pytest.mark.parametrize(
    'more', [{'entry': 'entry2'}, {'incarnation': 2}], ids=str
)
def test_entry_may_not_know_that_a_runner_has_no_room(more):
    records = _pause_records((60_600, 61_000, 61_900), **more)
    assert _rules(records) == set()


@pytest.mark.parametrize(
    ('kind', 'target', 'rules'),
    [
        ('pause-entry', '0', set()),
        ('cut-link-down', '1', set()),
        ('pause-runner', '1', set()),
        ('pause-runner', '2', {'pauses'}),
        ('busy-store', '0', {'pauses'}),
    ],
)
def test_frozen_entry_may_send_to_a_runner_without_room(kind, target, rules):
    records = _pause_records((60_600, 61_000, 61_900))
    records.played_faults = [PlayedFault(kind, target, 60_200, 60_400)]
    assert _rules(records) == rules


def test_begun_stream_that_is_cut_is_found():
    """Beside no fault, or beside one that no rule excuses."""
    records = _valid_records()
    _replace_call(records, 'b', ending=Ending.CUT, body=_events('b', [1, 2]))
    assert _rules(records) == {'begun'}
    records.played_faults = [PlayedFault('kill-runner', '0', 18_000, 19_000)]
    assert _rules(records) == set()


def test_stream_that_ends_before_it_began_is_no_begun_stream():
    records = _valid_records()
    _replace_call(records, 'b', ending=Ending.CUT, body=b'')
    assert _rules(records) == set()


@pytest.mark.parametrize(
    ('late', 'kind', 'rules'),
    [
        (3, FaultKind.KILL_RUNNER, set()),
        (4, FaultKind.KILL_RUNNER, {'poison'}),
        (4, FaultKind.KILL_ENTRY, set()),
    ],
)
def test_request_sent_on_though_it_crashes_runners_is_found(late, kind, rules):
    """A killed entry may not know of the crashes yet."""
    records = Records()
    records.crashes = [
        Crash('deadly1', f'runner{number}-1', 1000.0 * number)
        for number in range(1, 4)
    ]
    records.runs = [
        Run(f'deadly1-{number}', 'runner5-1', 8000.0, 8001.0)
        for number in range(late)
    ]
    records.played_faults = [PlayedFault(kind, '0', 6000.0, 6500.0)]
    found = findings_of(records, (check_poison,))
    assert {finding.rule for finding in found} == rules


def _limited_records(requests: int, entries: int = 2) -> Records:
    """Return records of a runner that states 1.4 a second for 8 s."""
    records = Records()
    for number in range(requests):
        at_ms = 20_000 + number * 8000 / requests
        request = f'l{number}'
        entry = f'entry{number % entries}'
        records.calls.append(
            _call(request, entry=entry, sent_ms=at_ms, answered_ms=at_ms + 30)
        )
        records.runs.append(Run(request, 'runner0-1', at_ms, at_ms + 20))
        notice = Notice(NoticeKind.LIMITED, request, 'runner0-1', at_ms, 1400)
        records.notices.append(notice)
    return records


def test_limit_of_a_runner_is_checked():
    assert not list(check_limits(_limited_records(22)))
    [finding] = check_limits(_limited_records(40))
    assert finding.rule == 'limits'


def test_requests_of_entries_that_were_not_told_are_no_finding():
    assert not list(check_limits(_limited_records(40, entries=40)))


def test_builds_of_a_stream_are_checked_over_its_tries():
    records = Records(build_by_runner={'runner0-1': 'v1', 'runner1-1': 'v2'})
    begun = event_of(b'a', 1, b'runner0-1')
    records.calls = [
        _call('a', Kind.STREAM, body=begun, ending=Ending.CUT),
        _call(
            'a-up0',
            Kind.STREAM,
            body=event_of(b'a-up0', 2, b'runner0-1'),
            origin='a',
            resumed_after=1,
        ),
    ]
    assert not list(check_builds(records))
    other = event_of(b'a-up0', 2, b'runner1-1')
    records.calls[1] = replace(records.calls[1], body=other)
    [finding] = check_builds(records)
    assert finding.rule == 'builds'


def _rollout_records(runs: int, *states: str, is_bad: bool = True) -> Records:
    """Return records of a roll-out with 100 requests for its service."""
    records = Records()
    records.calls = [
        _call(f'c{number}', sent_ms=21_000.0) for number in range(100)
    ]
    records.runs = [
        Run(f'c{number}', 'target0-1', 21_000.0) for number in range(runs)
    ]
    records.rollouts = [
        Rollout(
            'plain-service',
            'r1',
            frozenset(['target0-1']),
            is_bad,
            20_000.0,
            12_000.0,
            tuple(
                (state, 21_000.0 + 1000 * number)
                for number, state in enumerate(states)
            ),
        )
    ]
    return records


@pytest.mark.parametrize(
    ('runs', 'states', 'is_bad', 'rules'),
    [
        (60, ['active', 'rolled_back'], True, set()),
        (61, ['active', 'rolled_back'], True, {'exposure'}),
        (100, ['active', 'completed'], False, set()),
        (10, ['active', 'completed'], True, {'rollouts'}),
        (10, ['active'], False, {'rollouts'}),
        (10, ['active', 'rolled_back', 'active'], True, {'rollouts'}),
        (10, ['active', 'rolled_back', 'completed'], True, {'rollouts'}),
    ],
)
def test_rollouts_are_checked(runs, states, is_bad, rules):
    records = _rollout_records(runs, *states, is_bad=is_bad)
    assert {finding.rule for finding in check_rollouts(records)} == rules


def test_disturbed_rollout_may_end_late():
    records = _rollout_records(10, 'active')
    records.played_faults = [PlayedFault('kill-entry', '0', 25_000, 26_000)]
    assert not list(check_rollouts(records))
