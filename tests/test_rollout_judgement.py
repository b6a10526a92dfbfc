"""Whether answers speak against a target, and against no sound one."""

from __future__ import annotations

import math
import random

import pytest

from bergamotthread.process.rollouts.answer_cells import (
    AnswerCells,
    AnswerCount,
    CellKey,
    bucket,
    counts_by_key,
    counts_since,
)
from bergamotthread.process.rollouts.gate import AnswerSample, UpstreamBuild
from bergamotthread.process.rollouts.judgement import SLICE_MS, Judgement
from bergamotthread.process.rollouts.likelihood import (
    NO_EVIDENCE,
    ODDS,
    Evidence,
    Tally,
    log_ratios,
)

DOMAINS = ('a', 'b', 'c')
USUAL_MS = 50


class Judged:
    """Answers in slices of time, and what is judged of them."""

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.judgement = Judgement(0, 0)
        self.now_ms = 0

    def slice(
        self, target=6, former=60, *, target_bad=0, bad=0, slow=(), domains=(),
        target_in=DOMAINS, running=0,
    ):  # fmt: skip
        """Add a slice; `slow` are domains and whether the target is slow there.

        The target's answers come from the domains `target_in` by turns.
        """
        counts = {}
        for is_target, answers, part in (
            (True, target, target_bad),
            (False, former, bad),
        ):
            for number in range(answers):
                among = target_in if is_target else DOMAINS
                domain = among[number % len(among)]
                failed = self.random.random() < part
                if domains and domain not in domains:
                    failed = False
                is_slow = (domain, is_target) in slow
                spread = self.random.lognormvariate(0, 0.3)
                time_ms = USUAL_MS * spread * (5 if is_slow else 1)
                key = CellKey('/r', domain, is_target, bucket(time_ms), 0)
                count = counts.setdefault(key, AnswerCount())
                count.answered += 1
                count.failed += failed
        self.judgement.add(counts)
        self.now_ms += SLICE_MS
        self.judgement.advance(self.now_ms, running)
        return self.judgement.condemnation()


def slices(judged, count, **options):
    reasons = [judged.slice(**options) for _ in range(count)]
    return reasons[-1]


def test_bucket_grows_by_half_octaves():
    assert [bucket(ms) for ms in (0, 1, 1.1, 1.5, 2, 4)] == [0, 0, 1, 2, 3, 5]
    assert bucket(1e12) == bucket(1e9)


def test_counts_of_a_new_process_begin_at_zero():
    upstream = UpstreamBuild('i', 'chat', 'new', 'a')
    cells = AnswerCells()
    sample = AnswerSample(upstream, '/r', True, 20)
    cells.record(sample, is_target=True)
    once = counts_by_key(cells.cells())
    for _ in range(3):
        cells.record(sample, is_target=True)
    (gained,) = counts_since(counts_by_key(cells.cells()), once).values()
    assert (gained.answered, gained.failed) == (3, 3)
    (anew,) = counts_since(once, counts_by_key(cells.cells())).values()
    assert (anew.answered, anew.failed) == (1, 1)


@pytest.mark.parametrize('bad', range(1, 6))
def test_ratios_have_an_expectation_of_one_if_both_builds_are_alike(bad):
    """The sum over the hypergeometric distribution, by its definition."""
    expected = [0.0] * len(ODDS)
    for target_bad in range(bad + 1):
        weight = math.comb(7, target_bad) * math.comb(20, bad - target_bad)
        ratios = log_ratios(Tally(target_bad, 7), Tally(bad - target_bad, 20))
        for index, ratio in enumerate(ratios):
            expected[index] += weight / math.comb(27, bad) * math.exp(ratio)
    assert expected == pytest.approx([1] * len(ODDS))


def test_no_evidence_without_bad_answers_or_without_one_build():
    assert log_ratios(Tally(0, 9), Tally(0, 90)) == NO_EVIDENCE
    assert log_ratios(Tally(9, 9), Tally()) == NO_EVIDENCE
    assert log_ratios(Tally(), Tally(9, 90)) == NO_EVIDENCE


def test_large_samples_are_scaled_down():
    large = log_ratios(Tally(2000, 4000), Tally(100, 40_000))
    assert max(large) > 100


def test_evidence_of_no_strata_is_neutral():
    evidence = Evidence()
    for _ in range(100):
        evidence.add(NO_EVIDENCE)
    assert evidence.log_factor == pytest.approx(0)


def test_evidence_may_begin_after_a_sound_time():
    evidence = Evidence()
    for _ in range(20):
        evidence.add(log_ratios(Tally(0, 30), Tally(10, 100)))
    for _ in range(6):
        evidence.add(log_ratios(Tally(8, 10), Tally(10, 100)))
    assert evidence.log_factor > math.log(1000)


def test_sound_target_beside_a_load_that_reaches_both():
    judged = Judged()
    assert not slices(judged, 5)
    assert not slices(judged, 5, target_bad=0.4, bad=0.4)
    assert not slices(judged, 5, target=30, target_bad=0.2, bad=0.2)


def test_sound_target_beside_a_slow_domain():
    judged = Judged()
    slow = {('a', True), ('a', False)}
    assert not slices(judged, 20, slow=slow)


def test_sound_target_that_is_mostly_in_the_slow_domain():
    judged = Judged()
    slow = {('a', True), ('a', False)}
    target_in = ('a', 'a', 'a', 'a', 'b')
    assert not slices(judged, 20, target=10, slow=slow, target_in=target_in)
    assert judged.judgement.excess_bad < 20


def test_first_answers_are_not_compared_while_most_requests_run():
    judged = Judged()
    assert not slices(judged, 3, target_bad=1, running=60)
    assert not judged.judgement.excess_bad
    assert slices(judged, 1, target_bad=1)


def test_moved_target_is_not_compared_with_what_took_long():
    judged = Judged()
    slices(judged, 5, bad=0.3, target_bad=0.3)
    judged.judgement.set_alone(judged.now_ms, is_alone=True)
    assert not slices(judged, 10, target=20, target_bad=0.3, former=20)


def test_burst_is_not_compared_with_the_time_before_it():
    judged = Judged()
    slices(judged, 5)
    judged.judgement.set_alone(judged.now_ms, is_alone=True)
    assert not slices(judged, 4, target=180, former=0, target_bad=0.3)
    assert slices(judged, 8, target=60, former=0, target_bad=0.3)


def test_one_bad_failure_domain_of_the_target_condemns_nothing():
    judged = Judged()
    assert not slices(judged, 20, target_bad=0.5, domains=('a',))
    assert not slices(Judged(), 20, slow={('b', True)})


@pytest.mark.parametrize('part', [0.3, 1])
def test_target_that_fails_is_condemned(part):
    assert 'on /r are worse' in slices(Judged(), 12, target_bad=part)


def test_target_that_is_slow_is_condemned():
    slow = {(domain, True) for domain in DOMAINS}
    assert slices(Judged(), 2, slow=slow)


@pytest.mark.parametrize('seed', range(5))
def test_target_that_fails_beside_slow_former_builds_is_condemned(seed):
    """Answers that are late by a cut link explain no failures."""
    judged = Judged(seed)
    slow = {('a', False), ('a', True), ('b', False)}
    few = {'target': 2, 'former': 12, 'slow': slow}
    assert not slices(judged, 40, **few)
    assert slices(judged, 15, target_bad=1 / 3, **few)


def test_target_is_compared_with_earlier_answers_once_none_are_left():
    judged = Judged()
    assert not slices(judged, 5)
    assert not slices(judged, 2, target=60, former=0)
    assert slices(judged, 1, target=60, former=0, target_bad=0.5)


def test_false_condemnations_are_as_rare_as_stated():
    """With both builds failing at the same rate, which changes over time."""
    condemned = 0
    for seed in range(400):
        judged = Judged(seed)
        for _ in range(12):
            rate = judged.random.choice((0, 0.05, 0.3))
            if judged.slice(target=9, target_bad=rate, bad=rate):
                condemned += 1
                break
    assert condemned <= 2
