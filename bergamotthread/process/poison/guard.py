"""Detection and quarantine of requests that crash the upstreams running them.

When an upstream dies, the death is charged to the content fingerprint of each
attempt that ran on it. A charged death is not counted if its failure domain
lost several upstreams at once. Progress of an attempt by `PROGRESS_MIN_TOKENS`
clears the counted deaths, its completion all charged ones. A fingerprint is
quarantined after `COUNTED_DEATHS_MAX` counted deaths without progress in
between, or after `CHARGED_DEATHS_MAX` deaths of any kind without a completion.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from bergamotthread.clock import Clock
from bergamotthread.process.generations.running_attempts import (
    PROGRESS_MIN_TOKENS,
)
from bergamotthread.process.poison.death_log import (
    CORRELATION_WINDOW_MS,
    DeathLog,
)
from bergamotthread.wire.messages import Quarantine

COUNTED_DEATHS_MAX = 3
CHARGED_DEATHS_MAX = 6
QUARANTINE_MS = 86_400_000
RECORDS_MAX = 4096
DEFAULT_DOMAIN_SIZE = 2


@dataclass(frozen=True)
class Clear:
    """The request may run on any upstream."""


@dataclass(frozen=True)
class Suspect:
    """Upstreams died while running the request.

    It may run, but not on an upstream that runs another suspect request.
    """

    deaths: int


@dataclass(frozen=True)
class Undecided:
    """The last death may still prove part of the loss of a failure domain.

    The request has to wait for `wait_ms` until this is decided.
    """

    deaths: int
    wait_ms: float


@dataclass(frozen=True)
class Quarantined:
    """The request is refused at every entry."""

    deaths: int
    remaining_ms: float


PoisonVerdict = Clear | Suspect | Undecided | Quarantined


class QuarantineSink(Protocol):
    """Receiver of quarantines that this process confirms."""

    def quarantined(self, notice: Quarantine) -> None:
        """Publish a quarantine that this process confirmed."""


def _default_domain_size(failure_domain: str) -> int:
    return DEFAULT_DOMAIN_SIZE


@dataclass(frozen=True)
class _Attempt:
    fingerprint: int
    produced: int = 0


@dataclass
class _Record:
    death_ids: list[int] = field(default_factory=list)
    charged: int = 0
    deaths_by_peer: dict[str, int] = field(default_factory=dict)
    peer_ms: float = -math.inf
    quarantined_until_ms: float = 0
    confirmed_deaths: int = 0
    told: int = 0


@dataclass
class PoisonGuard:
    """Charges deaths to fingerprints and quarantines those over the limits.

    Parameters
    ----------
    domain_size
        Returns the number of upstreams in a failure domain whose deaths this
        process learns of.
    """

    clock: Clock
    sink: QuarantineSink
    domain_size: Callable[[str], int] = _default_domain_size
    deaths: DeathLog = field(init=False)
    _attempts_by_agent: dict[str, dict[str, _Attempt]] = field(
        default_factory=dict,
    )
    _record_by_fingerprint: OrderedDict[int, _Record] = field(
        default_factory=OrderedDict,
    )
    _changed_fingerprints: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.deaths = DeathLog(self.clock, self.domain_size)

    def check(self, content_hash: int) -> PoisonVerdict:
        """Return whether and where an attempt with this fingerprint may run.

        A fingerprint that has reached a limit is quarantined by this call.
        """
        record = self._record_by_fingerprint.get(content_hash)
        if record is None:
            return Clear()
        now_ms = self.clock.now_ms()
        if record.quarantined_until_ms > now_ms:
            remaining_ms = record.quarantined_until_ms - now_ms
            return Quarantined(record.confirmed_deaths, remaining_ms)
        counted = self._counted_deaths(content_hash, record)
        if counted < COUNTED_DEATHS_MAX and record.charged < CHARGED_DEATHS_MAX:
            is_suspect = self._needs_isolation(record, counted)
            return Suspect(counted) if is_suspect else Clear()
        if record.charged < CHARGED_DEATHS_MAX:
            wait_ms = self._correlation_wait_ms(record)
            if wait_ms > 0:
                return Undecided(counted, wait_ms)
        return self._quarantine(
            content_hash, record, max(counted, record.charged)
        )

    def agents_with_other_suspects(self, content_hash: int) -> frozenset[str]:
        """Return the agents that run another suspect request.

        Only requests that this process sent are known, and an attempt that has
        made progress is no longer suspect.
        """
        return frozenset(
            agent
            for agent, attempts in self._attempts_by_agent.items()
            if any(
                attempt.fingerprint != content_hash
                and self._is_suspect_attempt(attempt)
                for attempt in attempts.values()
            )
        )

    def record_start(
        self, agent: str, generation: str, content_hash: int
    ) -> None:
        """Record that an agent confirmed an attempt with `Admitted`.

        An attempt that was sent but not confirmed can't have caused a death.
        If it were charged, the loss of many upstreams at once would charge a
        request for every dead upstream that it was resumed at.
        """
        attempts = self._attempts_by_agent.setdefault(agent, {})
        attempts[generation] = _Attempt(content_hash)

    def record_progress(
        self,
        agent: str,
        generation: str,
        produced: int,
    ) -> None:
        """Record the total number of tokens that an attempt has produced."""
        attempts = self._attempts_by_agent.get(agent, {})
        attempt = attempts.get(generation)
        if attempt is None or attempt.produced >= PROGRESS_MIN_TOKENS:
            return
        attempts[generation] = replace(attempt, produced=produced)
        if produced >= PROGRESS_MIN_TOKENS:
            self._clear_counted_deaths(attempt.fingerprint)

    def record_end(
        self,
        agent: str,
        generation: str,
        *,
        completed: bool,
    ) -> None:
        """Record that an attempt ended while its upstream was alive."""
        attempt = self._attempts_by_agent.get(agent, {}).pop(generation, None)
        if attempt is None or not completed:
            return
        record = self._record_by_fingerprint.get(attempt.fingerprint)
        if record is not None and not record.quarantined_until_ms:
            self._clear_counted_deaths(attempt.fingerprint)
            record.charged = 0

    def record_death(self, agent: str, failure_domain: str) -> None:
        """Charge the death of an upstream to the requests that ran on it.

        Only requests that this process sent are known. The death of an
        upstream without such requests is recorded too, because it helps to
        recognise the loss of a failure domain.
        """
        attempts = self._attempts_by_agent.pop(agent, {})
        content_hashes = frozenset(
            attempt.fingerprint for attempt in attempts.values()
        )
        death_id = self.deaths.record(failure_domain, content_hashes)
        for content_hash in content_hashes:
            record = self._record(content_hash)
            record.death_ids.append(death_id)
            record.charged += 1
        self._changed_fingerprints |= content_hashes

    def pop_changed_charges(self) -> tuple[Quarantine, ...]:
        """Return the own counted deaths that changed since the last call.

        A number that rose and fell back between two calls, as in the loss of a
        failure domain, is not returned.
        """
        changed: list[Quarantine] = []
        for content_hash in sorted(self._changed_fingerprints):
            record = self._record(content_hash)
            own = self.deaths.count_for(content_hash, record.death_ids)
            if own != record.told:
                record.told = own
                changed.append(Quarantine(content_hash, own, confirmed=False))
            if not self.deaths.correlation_wait_ms(record.death_ids):
                self._changed_fingerprints.discard(content_hash)
        return tuple(changed)

    def merge(self, sender: str, notice: Quarantine) -> None:
        """Apply counted deaths or a confirmed quarantine of another entry."""
        record = self._record(notice.fingerprint)
        if notice.confirmed:
            self.restore_quarantine(notice, QUARANTINE_MS)
        else:
            record.deaths_by_peer[sender] = notice.deaths
            record.peer_ms = self.clock.now_ms()

    def restore_quarantine(
        self, notice: Quarantine, remaining_ms: float
    ) -> None:
        """Apply an existing quarantine, such as one read from the table."""
        record = self._record(notice.fingerprint)
        record.confirmed_deaths = max(record.confirmed_deaths, notice.deaths)
        record.quarantined_until_ms = self.clock.now_ms() + remaining_ms

    def release(self, content_hash: int) -> None:
        """Remove a fingerprint that an operator released."""
        self._record_by_fingerprint.pop(content_hash, None)

    def _counted_deaths(self, content_hash: int, record: _Record) -> int:
        own = self.deaths.count_for(content_hash, record.death_ids)
        return own + sum(record.deaths_by_peer.values())

    def _correlation_wait_ms(self, record: _Record) -> float:
        peer_ms = record.peer_ms + CORRELATION_WINDOW_MS - self.clock.now_ms()
        return max(peer_ms, self.deaths.correlation_wait_ms(record.death_ids))

    def _is_suspect_attempt(self, attempt: _Attempt) -> bool:
        record = self._record_by_fingerprint.get(attempt.fingerprint)
        if record is None or attempt.produced >= PROGRESS_MIN_TOKENS:
            return False
        counted = self._counted_deaths(attempt.fingerprint, record)
        return self._needs_isolation(record, counted)

    def _needs_isolation(self, record: _Record, counted: int) -> bool:
        """Return whether a request must be isolated from other suspects.

        After the loss of many upstreams at once, all requests that ran on them
        are resumed; isolating them would make them wait for one another. From
        its second counted death on, a request is isolated even if other
        upstreams died at the same time.
        """
        if counted != 1 or not record.death_ids:
            return counted > 0
        return not self.deaths.is_simultaneous_loss(record.death_ids)

    def _quarantine(
        self, content_hash: int, record: _Record, deaths: int
    ) -> PoisonVerdict:
        record.confirmed_deaths = deaths
        record.quarantined_until_ms = self.clock.now_ms() + QUARANTINE_MS
        self.sink.quarantined(Quarantine(content_hash, deaths, confirmed=True))
        return Quarantined(deaths, QUARANTINE_MS)

    def _clear_counted_deaths(self, content_hash: int) -> None:
        record = self._record_by_fingerprint.get(content_hash)
        if record is None or record.quarantined_until_ms:
            return
        record.death_ids.clear()
        record.deaths_by_peer.clear()
        self._changed_fingerprints.add(content_hash)

    def _record(self, content_hash: int) -> _Record:
        record = self._record_by_fingerprint.setdefault(content_hash, _Record())
        self._record_by_fingerprint.move_to_end(content_hash)
        if len(self._record_by_fingerprint) > RECORDS_MAX:
            self._record_by_fingerprint.popitem(last=False)
        return record
