"""Estimated load of each agent's upstream.

Estimates combine delayed load reports with own dispatches.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.process.overload.run_statistics import (
    DEFAULT_PREFILL_TOKENS_PER_S,
)
from bergamotthread.wire.messages import LoadReport

REPORT_HALF_LIFE_MS = 2000
REPORT_TRANSIT_MS = 50
_MS_PER_S = 1000


class LoadEstimate(msgspec.Struct, frozen=True, gc=False):
    """Expected current load of one upstream, with own dispatches included."""

    running: float = 0
    queued: float = 0
    kv_tokens: float = 0
    kv_capacity: float = 0
    prefill_tokens: float = 0
    prefill_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S

    @property
    def prefill_ms(self) -> float:
        """Return the time that the prefill ahead of a new attempt takes."""
        return self.prefill_tokens / self.prefill_per_s * _MS_PER_S


@dataclass(frozen=True)
class _OwnDispatch:
    sent_ms: float
    kv_tokens: int
    prefill_tokens: int


@dataclass
class _AgentLoad:
    report: LoadReport = LoadReport()
    sampled_ms: float = -math.inf
    dispatch_by_generation: dict[str, _OwnDispatch] = field(
        default_factory=dict
    )


@dataclass
class LoadView:
    """Estimates the load of all agents that report or receive dispatches.

    The estimate is a weighted mean of the agent's report and the mean of all
    reports; the weight of the former halves every `half_life_ms`. Capacity and
    prefill rate are those of the report. Own dispatches that the report can't
    include yet are added in full.
    """

    clock: Clock
    half_life_ms: float = REPORT_HALF_LIFE_MS
    _load_by_agent: dict[str, _AgentLoad] = field(default_factory=dict)
    _mean: LoadEstimate = LoadEstimate()
    _mean_ms: float = -math.inf

    def record_report(self, agent: str, report: LoadReport) -> None:
        """Record a report that has just arrived, unless it is outdated."""
        load = self._load_by_agent.setdefault(agent, _AgentLoad())
        sampled_ms = self.clock.now_ms() - report.age_ms
        if sampled_ms >= load.sampled_ms:
            load.report = report
            load.sampled_ms = sampled_ms

    def record_dispatch(
        self,
        agent: str,
        generation: str,
        kv_tokens: int,
        prefill_tokens: int,
    ) -> None:
        """Record an own dispatch that no report includes yet."""
        load = self._load_by_agent.setdefault(agent, _AgentLoad())
        load.dispatch_by_generation[generation] = _OwnDispatch(
            sent_ms=self.clock.now_ms(),
            kv_tokens=kv_tokens,
            prefill_tokens=prefill_tokens,
        )

    def record_end(self, agent: str, generation: str) -> None:
        """Remove an own dispatch."""
        load = self._load_by_agent.get(agent)
        if load is not None:
            load.dispatch_by_generation.pop(generation, None)

    def is_draining(self, agent: str) -> bool:
        """Return whether the agent is draining by its newest report."""
        load = self._load_by_agent.get(agent)
        return load is not None and load.report.draining

    def estimate(self, agent: str) -> LoadEstimate:
        """Return the expected load of an agent's upstream now."""
        load = self._load_by_agent.get(agent)
        if load is None:
            return self._fleet_mean()
        age_ms = self.clock.now_ms() - load.sampled_ms
        report_weight = 2 ** (-age_ms / self.half_life_ms)
        estimate = _blend(
            _as_estimate(load.report), self._fleet_mean(), report_weight
        )
        return _add_dispatches(estimate, _unreported_dispatches(load))

    def attempts(self, agent: str) -> int:
        """Return the attempts at an agent: reported, or own and sent since."""
        load = self._load_by_agent.get(agent)
        if load is None:
            return 0
        return (
            load.report.running
            + load.report.queued
            + len(_unreported_dispatches(load))
        )

    def remove(self, agent: str) -> None:
        """Remove the load of an agent."""
        self._load_by_agent.pop(agent, None)

    def _fleet_mean(self) -> LoadEstimate:
        now_ms = self.clock.now_ms()
        if now_ms - self._mean_ms >= self.half_life_ms / 4:
            self._mean = _mean_of(tuple(self._load_by_agent.values()))
            self._mean_ms = now_ms
        return self._mean


def _as_estimate(report: LoadReport) -> LoadEstimate:
    return LoadEstimate(
        running=report.running,
        queued=report.queued,
        kv_tokens=report.kv_tokens,
        kv_capacity=report.kv_capacity,
        prefill_tokens=report.prefill_tokens,
        prefill_per_s=report.prefill_per_s or DEFAULT_PREFILL_TOKENS_PER_S,
    )


def _mean_of(loads: tuple[_AgentLoad, ...]) -> LoadEstimate:
    reports = [load.report for load in loads if load.sampled_ms > -math.inf]
    if not reports:
        return LoadEstimate()
    count = len(reports)
    rates = [
        report.prefill_per_s or DEFAULT_PREFILL_TOKENS_PER_S
        for report in reports
    ]
    return LoadEstimate(
        running=sum(report.running for report in reports) / count,
        queued=sum(report.queued for report in reports) / count,
        kv_tokens=sum(report.kv_tokens for report in reports) / count,
        kv_capacity=sum(report.kv_capacity for report in reports) / count,
        prefill_tokens=sum(report.prefill_tokens for report in reports) / count,
        prefill_per_s=sum(rates) / count,
    )


def _blend(
    reported: LoadEstimate,
    mean: LoadEstimate,
    report_weight: float,
) -> LoadEstimate:
    mean_weight = 1 - report_weight
    return LoadEstimate(
        running=report_weight * reported.running + mean_weight * mean.running,
        queued=report_weight * reported.queued + mean_weight * mean.queued,
        kv_tokens=report_weight * reported.kv_tokens
        + mean_weight * mean.kv_tokens,
        kv_capacity=reported.kv_capacity or mean.kv_capacity,
        prefill_tokens=(
            report_weight * reported.prefill_tokens
            + mean_weight * mean.prefill_tokens
        ),
        prefill_per_s=reported.prefill_per_s,
    )


def _unreported_dispatches(load: _AgentLoad) -> tuple[_OwnDispatch, ...]:
    since_ms = load.sampled_ms - REPORT_TRANSIT_MS
    own = load.dispatch_by_generation.values()
    return tuple(dispatch for dispatch in own if dispatch.sent_ms > since_ms)


def _add_dispatches(
    estimate: LoadEstimate,
    own: tuple[_OwnDispatch, ...],
) -> LoadEstimate:
    kv_tokens = sum(dispatch.kv_tokens for dispatch in own)
    prefill_tokens = sum(dispatch.prefill_tokens for dispatch in own)
    return LoadEstimate(
        running=estimate.running + len(own),
        queued=estimate.queued,
        kv_tokens=estimate.kv_tokens + kv_tokens,
        kv_capacity=estimate.kv_capacity,
        prefill_tokens=estimate.prefill_tokens + prefill_tokens,
        prefill_per_s=estimate.prefill_per_s,
    )
