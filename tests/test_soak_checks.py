"""Each check of the soak passes what is sound and fails on a mutant of it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from soak.checks import findings_of
from soak.records import (
    Asked,
    Ending,
    Killed,
    Kind,
    Memory,
    Published,
    Ran,
    Records,
    Stopped,
    Struck,
)
from standins.platform_runner import event_of


def _events(request: str, numbers=range(1, 61)) -> bytes:
    return b''.join(event_of(request.encode(), number) for number in numbers)


def _asked(request: str, kind: Kind = Kind.ONCE, **more) -> Asked:
    told = {
        'path': str(kind),
        'key': 'key-0',
        'entry': 'entry0',
        'life': 1,
        'sent_ms': 20_000.0,
        'ended_ms': 21_000.0,
        'ending': Ending.WHOLE,
        'status': 200,
        'sealed': True,
        'body': _events(request) if kind.is_stream else request.encode(),
        **more,
    }
    return Asked(request, kind, **told)


def _sound() -> Records:
    """Return records of a soak in which all went well."""
    records = Records()
    records.asked = [
        _asked('a'),
        _asked('b', Kind.STREAM),
        _asked(
            'c',
            Kind.LOOKUP,
            path='/added/',
            entry='entry2',
            sent_ms=30_000.0,
            ended_ms=31_000.0,
        ),
        _asked('d', status=503, sealed=False, body=b'{}'),
        _asked('e', Kind.STREAM, ending=Ending.LEFT, body=_events('e', [1, 2])),
        _asked('f', key='key-9', status=401, sealed=False, body=b'{}'),
    ]
    records.ran = [
        Ran('a', 'r0', 20_100, 20_200),
        Ran('b', 'r0', 20_100, 20_900),
        Ran('b', 'r1', 20_900, 21_000),
        Ran('c', 'r0', 30_100, 30_200),
        Ran('e', 'r0', 20_100, 21_300),
    ]
    records.published = [
        Published(1, 1000),
        Published(2, 5000, path='/added/'),
        Published(3, 8000, revoked='key-9'),
    ]
    records.stopped = [Stopped('entry1', 1, 40_000, 45_000)]
    records.memory = [
        Memory('entry0-1', tuple((one * 1000.0, 20.0) for one in range(600))),
    ]
    records.lines_by_request = {'d': ['{"event":"refused"}']}
    return records


def _rules(records: Records) -> set[str]:
    return {finding.rule for finding in findings_of(records)}


def _replace(records: Records, name: str, **more) -> None:
    records.asked = [
        replace(asked, **more) if asked.request == name else asked
        for asked in records.asked
    ]


def test_sound_records_show_nothing():
    assert findings_of(_sound()) == []


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
def test_mutant_of_an_answer_is_found(request_name, mutant, rule):
    records = _sound()
    _replace(records, request_name, **mutant)
    assert _rules(records) >= ({rule} if rule else set())
    assert rule or not _rules(records)


@pytest.mark.parametrize(
    ('left_ms', 'rules'), [(90, set()), (110, {'explained'})]
)
def test_line_that_a_killed_process_had_not_written_may_be_missing(
    left_ms,
    rules,
):
    records = _sound()
    records.lines_by_request = {}
    records.killed = [Killed('entry0', 1, 21_000 + left_ms)]
    assert _rules(records) == rules


def test_second_run_of_what_runs_once_is_found():
    records = _sound()
    records.ran.append(Ran('a', 'r2', 22_000, 22_100))
    assert _rules(records) == {'twice'}


def test_run_after_a_refusal_that_said_not_run_is_found():
    records = _sound()
    records.ran.append(Ran('d', 'r2', 50_000, 50_100))
    assert _rules(records) == {'refused'}


def test_route_that_an_entry_forgets_is_found_also_amid_faults():
    records = _sound()
    records.struck = [Struck('busy-store', '0', 0, 99_000)]
    again = _asked(
        'g',
        Kind.LOOKUP,
        path='/added/',
        entry='entry2',
        status=404,
        sealed=False,
        sent_ms=40_000.0,
        ended_ms=40_100.0,
    )
    records.asked.append(again)
    assert _rules(records) == {'reverts'}
    records.asked[-1] = replace(again, life=2)
    assert _rules(records) == set()


def test_late_version_amid_a_fault_is_allowed():
    records = _sound()
    _replace(records, 'c', status=404, sealed=False)
    records.struck = [Struck('pause-store', '0', 26_000, 27_000)]
    assert _rules(records) == set()


@pytest.mark.parametrize('ended_ms', [None, 49_500])
def test_entry_that_outlives_its_grace_time_is_found(ended_ms):
    records = _sound()
    records.stopped = [Stopped('entry1', 1, 40_000, ended_ms)]
    assert _rules(records) == {'drain'}


def test_request_that_a_planned_stop_cuts_is_found():
    records = _sound()
    records.stopped = [Stopped('entry0', 1, 20_500, 24_000)]
    _replace(records, 'a', ending=Ending.CUT, status=0)
    assert _rules(records) == {'planned stop'}
    records.struck = [Struck('kill-runner', '0', 18_000, 19_000)]
    assert _rules(records) == set()


def test_repeats_beyond_the_budget_are_found():
    records = _sound()
    for number in range(160):
        records.ran.append(Ran('b', 'r1', 21_000 + number, 21_100 + number))
    assert _rules(records) == {'repeats'}


def test_work_for_callers_that_left_is_found():
    records = _sound()
    for name in ('x', 'y', 'z'):
        left = _asked(name, Kind.STREAM, ending=Ending.LEFT, body=b'')
        records.asked.append(left)
        records.ran.append(Ran(name, 'r0', 20_100, 23_000))
    assert _rules(records) == {'gone'}


@pytest.mark.parametrize(
    'points',
    [
        tuple((one * 1000.0, 20 + one * 0.6 / 60) for one in range(600)),
        ((0.0, 20.0), (1000.0, 129.0)),
    ],
)
def test_memory_that_grows_is_found(points):
    records = _sound()
    records.memory = [Memory('entry0-1', points)]
    assert _rules(records) == {'memory'}
