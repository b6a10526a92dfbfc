"""Choice between failure domains, in a model of 47 entries without a network.

Loads: demand in waves that are out of phase between the domains, seen by
reports that are 200 ms old; a domain without engines; a domain that is offered
twice what its engines prefill.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.relay.choice import (
    RelayPlacementRequest,
    UpstreamChoice,
)
from tests.reading_engine import READ_PER_MS, ReadingEngine, directory_of

DOMAINS = ('a-1', 'a-2', 'b-1', 'b-2', 'c-1', 'c-2')
REGION_BY_DOMAIN = {domain: domain[0] for domain in DOMAINS}
ENTRIES = (8, 8, 11, 8, 6, 6)
ENGINES_PER_DOMAIN = 9
TARGET_MS = 4500.0
PERIOD_MS = 15_000.0
SWING = 0.55


@dataclass
class _Fleet:
    """Entries with a view each; `crossed` counts by second and domains."""

    target_ms: float
    engines_by_domain: dict[str, int]
    now_ms: float = 1000
    first_ms: list[float] = field(default_factory=list)
    crossed: Counter[tuple[int, str, str]] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(5)
        clock = Clock(lambda: self.now_ms / 1000, lambda: self.now_ms / 1000)
        self.engines = {
            f'{domain}-{number}': ReadingEngine(f'{domain}-{number}', domain)
            for domain, count in self.engines_by_domain.items()
            for number in range(count)
        }
        self.choices = {
            domain: [self._choice(clock, domain) for _ in range(count)]
            for domain, count in zip(DOMAINS, ENTRIES, strict=True)
        }

    def _choice(self, clock: Clock, domain: str) -> UpstreamChoice:
        directory = directory_of(self.engines.values(), clock)
        seed = random.Random(self.rng.random())
        return UpstreamChoice(directory, domain, REGION_BY_DOMAIN, seed)

    def offer(self, per_s: dict[str, float], seconds: float) -> None:
        """Offer streams to each domain at its rate, times its wave."""
        end_ms = self.now_ms + seconds * 1000
        peak = sum(per_s.values()) * (1 + SWING)
        while self.now_ms < end_ms:
            self.now_ms += self.rng.expovariate(peak / 1000)
            [domain] = self.rng.choices(list(per_s), list(per_s.values()))
            phase = DOMAINS.index(domain) / len(DOMAINS)
            turn = 2 * math.pi * (self.now_ms / PERIOD_MS + phase)
            wave = 1 + SWING * math.sin(turn)
            if self.rng.random() < wave / (1 + SWING):
                self._place(domain)

    def _place(self, domain: str) -> None:
        choice = self.rng.choice(self.choices[domain])
        tokens = int(8200 * self.rng.uniform(0.7, 1.3))
        request = RelayPlacementRequest(
            's', prompt_tokens=tokens, target_ms=self.target_ms
        )
        candidates = choice.draw_candidates(request)
        for upstream in candidates:
            report = upstream.report
            if report is None or self.now_ms - report.at_ms >= 150:
                engine = self.engines[upstream.record.instance]
                upstream.apply_report(engine.report(self.now_ms))
        chosen = min(
            candidates, key=lambda upstream: choice.cost_ms(upstream, request)
        )
        chosen.record_send(tokens, self.now_ms)
        engine = self.engines[chosen.record.instance]
        self.first_ms.append(engine.send(self.now_ms, tokens))
        self.crossed[int(self.now_ms / 1000), domain, engine.domain] += 1

    @property
    def late_share(self) -> float:
        late = sum(first_ms > TARGET_MS for first_ms in self.first_ms)
        return late / len(self.first_ms)

    @property
    def cross_share(self) -> float:
        crossed = sum(
            count
            for (_, own, other), count in self.crossed.items()
            if own != other
        )
        return crossed / len(self.first_ms)

    def p99_ms(self) -> float:
        return sorted(self.first_ms)[int(len(self.first_ms) * 0.99)]


def _play(
    per_engine_s: float,
    target_ms: float,
    engines: dict[str, int] | None = None,
    seconds: float = 30,
    hot: str = '',
) -> _Fleet:
    """Return a fleet after waves; `target_ms` 0 is the version before."""
    counts = dict.fromkeys(DOMAINS, ENGINES_PER_DOMAIN) | (engines or {})
    fleet = _Fleet(target_ms, counts)
    per_s = dict.fromkeys(DOMAINS, per_engine_s * ENGINES_PER_DOMAIN)
    if hot:
        per_s[hot] = 2 * ENGINES_PER_DOMAIN * READ_PER_MS * 1000 / 8200
    fleet.offer(per_s, seconds)
    return fleet


@pytest.mark.parametrize('per_engine_s', [0.27, 0.5])
def test_waves_out_of_phase_cross_less_and_none_is_late(per_engine_s):
    before = _play(per_engine_s, 0)
    after = _play(per_engine_s, TARGET_MS)
    assert after.cross_share < 0.6 * before.cross_share
    assert after.late_share <= before.late_share + 0.002
    assert after.p99_ms() < before.p99_ms() + 0.1 * TARGET_MS


def test_domain_that_is_over_is_served_by_those_with_room():
    """One domain is offered twice what its engines prefill."""
    before = _play(0.2, 0, hot='b-1', seconds=15)
    after = _play(0.2, TARGET_MS, hot='b-1', seconds=15)
    assert after.late_share <= before.late_share + 0.01
    sent = Counter()
    for (_, own, other), count in after.crossed.items():
        if own == 'b-1':
            sent[other] += count
    assert sent['b-1'] < 0.6 * sum(sent.values())
    others = set(DOMAINS) - {'b-1'}
    assert max(others, key=lambda domain: sent[domain]) == 'b-2'


def test_flow_between_two_domains_does_not_swing():
    """With even demand, entries of two domains never send to each other by
    turns: no second has much of a domain's streams elsewhere.
    """
    fleet = _play(0.45, TARGET_MS, seconds=40)
    by_second = Counter()
    crossed = Counter()
    for (second, own, other), count in fleet.crossed.items():
        by_second[second, own] += count
        crossed[second, own] += count * (own != other)
    shares = [
        crossed[key] / total for key, total in by_second.items() if total >= 3
    ]
    swings = [share for share in shares if share > 0.75]
    assert len(swings) < 0.05 * len(shares)


def test_domain_without_engines_uses_its_region_first():
    fleet = _play(0.27, TARGET_MS, engines={'a-1': 0})
    sent = Counter()
    for (_, own, other), count in fleet.crossed.items():
        if own == 'a-1':
            sent[other] += count
    assert sent['a-2'] > 0.5 * sum(sent.values())
    assert fleet.late_share < 0.01


def test_plain_request_leaves_its_domain_for_a_shorter_queue():
    fleet = _Fleet(0, dict.fromkeys(DOMAINS, 1))
    choice = fleet.choices['a-1'][0]
    request = RelayPlacementRequest('s', target_ms=300)
    for _ in range(2):
        chosen = choice.choose(request)
        assert chosen.record.failure_domain == 'a-1'
        chosen.in_flight += 1
    chosen.in_flight += 1
    assert choice.choose(request).record.failure_domain == 'a-2'


def test_candidates_are_from_two_domains():
    fleet = _play(0.27, TARGET_MS, seconds=1)
    request = RelayPlacementRequest('s', 8200, target_ms=TARGET_MS)
    for choice in fleet.choices['a-1']:
        drawn = choice.draw_candidates(request)
        domains = {upstream.record.failure_domain for upstream in drawn}
        assert len(domains) >= 2


def test_domain_most_of_whose_engines_are_lost_is_not_preferred():
    """The few that are left would get the streams of the whole domain."""
    fleet = _play(0.27, TARGET_MS, seconds=1)
    choice = fleet.choices['a-1'][0]
    request = RelayPlacementRequest('s', 8200, target_ms=TARGET_MS)
    own, other = (
        [
            upstream
            for upstream in choice.directory.of_service('s')
            if upstream.record.failure_domain == domain
        ]
        for domain in ('a-1', 'a-2')
    )

    def difference_ms() -> float:
        return choice.cost_ms(other[0], request) - choice.cost_ms(
            own[0], request
        )

    for upstream in (*own, *other):
        upstream.report = None
    assert difference_ms() > 0.09 * TARGET_MS
    for upstream in own[1:]:
        choice.directory.record_lost(upstream)
    assert abs(difference_ms()) < 2
