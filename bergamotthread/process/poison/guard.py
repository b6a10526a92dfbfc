"""Detection and quarantine of requests that crash the upstreams running them.

When an upstream dies, the death is charged to the content fingerprint of each
attempt that ran on it. A charged death is not counted if it has a common cause
with others, see `DeathLog.count_for`. Progress of an attempt clears the counted
deaths, its completion all charged ones. A fingerprint is quarantined after a
number of counted deaths without progress in between, or of deaths of any kind
without a completion, see `PoisonLimits`. After the quarantine it is on
probation: it is quarantined again by the next counted death, or by one of any
kind if these were the reason, since such a request makes progress before it
crashes its upstream.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import chain
from typing import Protocol

from bergamotthread.clock import Clock
from bergamotthread.process.poison.death_log import (
    Death,
    DeathLog,
    DeathNotice,
    RequestHashes,
)
from bergamotthread.process.poison.limits import QUARANTINE_MS, PoisonLimits
from bergamotthread.process.poison.verdicts import (
    Clear,
    PoisonVerdict,
    Quarantined,
    Suspect,
    Undecided,
    worse_verdict,
)
from bergamotthread.wire.messages import Quarantine

RECORDS_MAX = 4096
# Deaths under a part from which it is compared with the parts beside it.
SHARED_DEATHS_MIN = 2
# Deaths from which a content is charged that waited with others in each, and by
# how many more than each of them it has.
WAITING_DEATHS_MIN = 4
WAITING_LEAD_MIN = 2
DEFAULT_DOMAIN_SIZE = 2
# Deaths of any kind below their limit from which a content may be one that
# makes progress before it crashes its upstream.
LATE_MARGIN = 2


class QuarantineSink(Protocol):
    """Receiver of quarantines that this process confirms."""

    def quarantined(self, notice: Quarantine) -> None:
        """Publish a quarantine that this process confirmed."""


def _default_domain_size(failure_domain: str) -> int:
    return DEFAULT_DOMAIN_SIZE


@dataclass(frozen=True)
class _Attempt:
    hashes: RequestHashes
    sent_ms: float
    produced: float = 0
    has_begun: bool = True


@dataclass
class _Record:
    death_ids: list[int] = field(default_factory=list)
    cleared_ms: float = -math.inf
    is_on_probation: bool = False
    begun_death_ids: list[int] = field(default_factory=list)
    completed_ms: float = -math.inf
    needs_completion: bool = False
    deaths_by_peer: dict[str, int] = field(default_factory=dict)
    peer_ms: float = -math.inf
    quarantines: int = 0
    quarantined_until_ms: float = 0
    confirmed_deaths: int = 0
    told: int = 0


@dataclass
class PoisonGuard:
    """Charges deaths to fingerprints and quarantines those over the limits.

    An agent stands for the upstream beside it, a generation for one attempt.
    For relayed requests, an agent is the instance of an upstream.

    Parameters
    ----------
    domain_size
        Returns the number of upstreams in a failure domain whose deaths this
        process learns of.
    """

    clock: Clock
    sink: QuarantineSink
    domain_size: Callable[[str], int] = _default_domain_size
    limits: PoisonLimits = PoisonLimits()
    deaths: DeathLog = field(init=False)
    _attempts_by_agent: dict[str, dict[str, _Attempt]] = field(
        default_factory=dict,
    )
    _record_by_fingerprint: OrderedDict[int, _Record] = field(
        default_factory=OrderedDict,
    )
    _quarantined_hashes: set[int] = field(default_factory=set)
    _starts_by_part: OrderedDict[int, int] = field(default_factory=OrderedDict)
    _changed_fingerprints: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.deaths = DeathLog(
            self.clock, self.domain_size, self.limits.correlation
        )

    @property
    def quarantined_count(self) -> int:
        """Return the number of quarantined fingerprints."""
        return len(self._quarantined_hashes)

    @property
    def suspect_count(self) -> int:
        """Return the number of fingerprints with charged deaths."""
        return sum(
            bool(record.death_ids)
            for record in self._record_by_fingerprint.values()
        )

    def check(
        self, content_hash: int, part_hashes: tuple[int, ...] = ()
    ) -> PoisonVerdict:
        """Return whether and where an attempt with these fingerprints may run.

        A fingerprint that has reached a limit is quarantined by this call. If
        several parts have, the one with the most deaths is, and of parts with
        equally many the last: what precedes it is shared by more requests.
        Its deaths then no longer count against the others.
        """
        worst: PoisonVerdict = Clear()
        for part_hash in sorted(
            reversed(part_hashes), key=self._part_deaths, reverse=True
        ):
            verdict = self._check_part(part_hash)
            if isinstance(verdict, Quarantined):
                return verdict
            worst = worse_verdict(worst, verdict)
        return worse_verdict(worst, self._check_content(content_hash))

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a content or a part is quarantined."""
        return self.quarantine_remaining_ms(fingerprint) > 0

    def quarantine_remaining_ms(self, fingerprint: int) -> float:
        """Return the time for which a fingerprint is quarantined yet."""
        record = self._record_by_fingerprint.get(fingerprint, _Record())
        return max(record.quarantined_until_ms - self.clock.now_ms(), 0)

    def agents_with_other_suspects(self, content_hash: int) -> frozenset[str]:
        """Return the agents that run another suspect request.

        Only requests that this process sent are known. An attempt that has made
        progress is no longer suspect, unless its content may crash upstreams
        late.
        """
        return frozenset(
            agent
            for agent, attempts in self._attempts_by_agent.items()
            if any(
                content_hash not in attempt.hashes
                and self._is_suspect_attempt(attempt)
                for attempt in attempts.values()
            )
        )

    def record_start(
        self,
        agent: str,
        generation: str,
        content_hash: int,
        part_hashes: tuple[int, ...] = (),
        *,
        has_begun: bool = True,
    ) -> None:
        """Record that an agent confirmed an attempt with `Admitted`.

        An attempt that was sent but not confirmed can't have caused a death.
        If it were charged, the loss of many upstreams at once would charge a
        request for every dead upstream that it was resumed at.

        Parameters
        ----------
        has_begun
            Whether the upstream is known to run it, or will not say when it
            begins.
        """
        for part_hash in part_hashes:
            self._count_start(part_hash)
        attempts = self._attempts_by_agent.setdefault(agent, {})
        attempts[generation] = _Attempt(
            (content_hash, *part_hashes),
            self.clock.now_ms(),
            has_begun=has_begun,
        )

    def record_progress(
        self,
        agent: str,
        generation: str,
        produced: float,
    ) -> tuple[int, ...]:
        """Record the total progress of an attempt, which has begun.

        Returns
        -------
        tuple of int
            Fingerprints of which this cleared deaths.
        """
        attempts = self._attempts_by_agent.get(agent, {})
        attempt = attempts.get(generation)
        if attempt is None:
            return ()
        if self._has_progressed(attempt):
            # A part with which an attempt goes on has crashed no upstream.
            return self._clear_parts(attempt.hashes[1:])
        progressed = replace(attempt, produced=produced, has_begun=True)
        attempts[generation] = progressed
        if not self._has_progressed(progressed):
            return ()
        return self._clear_sound(attempt.hashes)

    def record_end(
        self,
        agent: str,
        generation: str,
        *,
        completed: bool,
        is_whole: bool = True,
    ) -> tuple[int, ...]:
        """Record that an attempt ended while its upstream was alive.

        Parameters
        ----------
        is_whole
            Whether the attempt began at the start. The rest of a request is no
            proof that the whole of it crashes no upstream.

        Returns
        -------
        tuple of int
            Fingerprints of which this cleared deaths.
        """
        attempts = self._attempts_by_agent.get(agent, {})
        attempt = attempts.pop(generation, None)
        if not attempts:
            self._attempts_by_agent.pop(agent, None)
        if attempt is None or not completed:
            return ()
        content_hash = attempt.hashes[0]
        has_completed = is_whole and self._clear_begun_deaths(content_hash)
        cleared = self._clear_sound(attempt.hashes)
        if has_completed and content_hash not in cleared:
            return (content_hash, *cleared)
        return cleared

    def record_death(
        self,
        agent: str,
        failure_domain: str,
        death_id: int | None = None,
        at_ms: float | None = None,
    ) -> DeathNotice:
        """Charge the death of an upstream to the requests that ran on it.

        Only requests that this process sent are known. The death of an
        upstream without such requests is recorded too, because it helps to
        recognise deaths with a common cause.

        Parameters
        ----------
        death_id
            Identifier by which several processes name the same death; a new
            one if None.
        at_ms
            Monotonic time of the death, if it is known only later.
        """
        attempts = self._attempts_by_agent.pop(agent, {}).values()
        begun = [attempt for attempt in attempts if attempt.has_begun]
        counted, progressed = begun, []
        if not self.limits.counts_progressed:
            counted = [one for one in begun if not self._has_progressed(one)]
            progressed = list(filter(self._has_progressed, begun))
        waiting = [attempt for attempt in attempts if not attempt.has_begun]
        now_ms = self.clock.now_ms()
        suspects = counted or waiting or progressed
        death = Death(
            failure_domain,
            now_ms if at_ms is None else at_ms,
            _hashes_of(counted),
            _hashes_of(waiting),
            min((one.sent_ms for one in suspects), default=now_ms),
            frozenset((one.hashes[0],) for one in progressed),
        )
        death_id = self._record_death(death, death_id)
        return DeathNotice.from_death(death_id, death, now_ms)

    def merge_death(self, notice: DeathNotice) -> None:
        """Charge a death that another process told."""
        death = notice.to_death(self.clock.now_ms())
        self._record_death(death, notice.death_id)

    def merge_completion(self, fingerprint: int) -> None:
        """Clear a content that was completed, also if it is quarantined."""
        self._record(fingerprint).quarantined_until_ms = 0
        self._clear_begun_deaths(fingerprint)
        self.merge_clear(fingerprint)

    def merge_clear(self, fingerprint: int) -> None:
        """Clear a fingerprint that made progress, also if it is quarantined.

        Deaths before now are not counted either if they are told later.
        Progress is no proof for a content that crashes upstreams after it.
        """
        if self._record(fingerprint).needs_completion:
            return
        self._record(fingerprint).quarantined_until_ms = 0
        self._quarantined_hashes.discard(fingerprint)
        self._clear_counted_deaths(fingerprint)

    def open_deaths(self) -> tuple[DeathNotice, ...]:
        """Return the deaths that are charged and not cleared."""
        return self._notices(self._open_death_ids())

    def charged_deaths(self) -> tuple[DeathNotice, ...]:
        """Return the other deaths of requests that were not completed since.

        They are told as deaths of requests that had made progress, which do
        not count where progress has cleared them.
        """
        begun_ids = {
            death_id
            for record in self._record_by_fingerprint.values()
            for death_id in record.begun_death_ids
        }
        notices = self._notices(begun_ids - self._open_death_ids())
        return tuple(
            replace(
                notice,
                running=frozenset(),
                waiting=frozenset(),
                progressed=notice.running | notice.progressed,
            )
            for notice in notices
        )

    def most_charged(
        self, requests: Iterable[RequestHashes], count: int
    ) -> tuple[RequestHashes, ...]:
        """Return the requests whose contents ran through most deaths."""
        return tuple(sorted(requests, key=self._begun_deaths)[-count:])

    def quarantines(self) -> tuple[tuple[Quarantine, float], ...]:
        """Return the quarantines in force with their remaining times, in ms."""
        now_ms = self.clock.now_ms()
        records = self._record_by_fingerprint
        return tuple(
            (
                Quarantine(one, records[one].confirmed_deaths, confirmed=True),
                records[one].quarantined_until_ms - now_ms,
            )
            for one in sorted(self._quarantined_hashes)
            if records[one].quarantined_until_ms > now_ms
        )

    def pop_changed_charges(self) -> tuple[Quarantine, ...]:
        """Return the own counted deaths that changed since the last call.

        A number that rose and fell back between two calls, as in the loss of a
        failure domain, is not returned.
        """
        changed: list[Quarantine] = []
        for content_hash in sorted(self._changed_fingerprints):
            record = self._record(content_hash)
            own = self._own_deaths(content_hash, record)
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
            self.restore_quarantine(notice, self.limits.quarantine_ms)
        else:
            record.deaths_by_peer[sender] = notice.deaths
            record.peer_ms = self.clock.now_ms()

    def restore_quarantine(
        self, notice: Quarantine, remaining_ms: float
    ) -> None:
        """Apply an existing quarantine, such as one read from the table."""
        record = self._record(notice.fingerprint)
        record.confirmed_deaths = max(record.confirmed_deaths, notice.deaths)
        if self._is_over_charged(notice.fingerprint, record):
            record.needs_completion = True
        record.quarantined_until_ms = self.clock.now_ms() + remaining_ms
        self._quarantined_hashes.add(notice.fingerprint)
        for fingerprint in self._blamed_for(notice.fingerprint):
            self.release(fingerprint)

    def release(self, content_hash: int) -> None:
        """Remove all that is known of a fingerprint."""
        self._record_by_fingerprint.pop(content_hash, None)
        self._quarantined_hashes.discard(content_hash)
        self._changed_fingerprints.discard(content_hash)

    def _begun_deaths(self, request: RequestHashes) -> tuple[int, int]:
        """Return the deaths of any kind of a content, and the content."""
        record = self._record_by_fingerprint.get(request[0], _Record())
        return len(record.begun_death_ids), request[0]

    def _open_death_ids(self) -> set[int]:
        return {
            death_id
            for record in self._record_by_fingerprint.values()
            for death_id in record.death_ids
        }

    def _notices(self, death_ids: Iterable[int]) -> tuple[DeathNotice, ...]:
        now_ms = self.clock.now_ms()
        return tuple(
            DeathNotice.from_death(death_id, death, now_ms)
            for death_id in sorted(death_ids)
            if (death := self.deaths.get(death_id)) is not None
        )

    def _check_content(self, content_hash: int) -> PoisonVerdict:
        record = self._record_by_fingerprint.get(content_hash)
        if record is None:
            return Clear()
        self._end_quarantine(content_hash, record)
        if record.quarantined_until_ms:
            remaining_ms = record.quarantined_until_ms - self.clock.now_ms()
            return Quarantined(record.confirmed_deaths, remaining_ms)
        limits = self.limits
        counted = self._counted_deaths(content_hash, record)
        counted_max = 1 if record.is_on_probation else limits.counted_deaths_max
        is_over_charged = self._is_over_charged(content_hash, record)
        if counted < counted_max and not is_over_charged:
            return self._suspect_or_clear(
                content_hash,
                record,
                counted,
                is_last=counted == counted_max - 1,
            )
        if not is_over_charged:
            wait_ms = self._correlation_wait_ms(record)
            if wait_ms > 0:
                return Undecided(counted, wait_ms)
        charged = self._charged_deaths(content_hash, record)
        return self._quarantine(content_hash, record, max(counted, charged))

    def _suspect_or_clear(
        self, content_hash: int, record: _Record, counted: int, *, is_last: bool
    ) -> PoisonVerdict:
        """Return the verdict on a content below the limits.

        Parameters
        ----------
        is_last
            Whether the next counted death reaches the limit.
        """
        is_tried = is_last and self._is_tried(content_hash)
        if self._may_crash_late(content_hash, record):
            charged = self._charged_deaths(content_hash, record)
            if charged >= self._charged_max(record) - 1:
                is_tried = is_tried or self._is_under_way(content_hash)
            return Suspect(max(counted, charged), is_tried)
        if not self._needs_isolation(record, counted):
            return Clear()
        return Suspect(counted, is_tried)

    def _charged_deaths(self, content_hash: int, record: _Record) -> int:
        """Return the deaths of any kind since the last completion."""
        return self.deaths.count_of_any_kind(
            content_hash, record.begun_death_ids, self._quarantined_hashes
        )

    def _charged_max(self, record: _Record) -> int:
        return 1 if record.needs_completion else self.limits.charged_deaths_max

    def _is_over_charged(self, content_hash: int, record: _Record) -> bool:
        charged = self._charged_deaths(content_hash, record)
        return charged >= self._charged_max(record)

    def _may_crash_late(self, content_hash: int, record: _Record) -> bool:
        """Return whether a content may crash upstreams despite its progress.

        Its attempts are kept apart from other suspects, and the last one before
        the limit runs alone.
        """
        if self.limits.counts_progressed:
            return False
        charged = self._charged_deaths(content_hash, record)
        return charged >= self._charged_max(record) - LATE_MARGIN

    def _check_part(self, part_hash: int) -> PoisonVerdict:
        record = self._record_by_fingerprint.get(part_hash)
        if record is None:
            return Clear()
        self._end_quarantine(part_hash, record)
        if record.quarantined_until_ms:
            remaining_ms = record.quarantined_until_ms - self.clock.now_ms()
            return Quarantined(
                record.confirmed_deaths, remaining_ms, is_part=True
            )
        counted = self._counted_deaths(part_hash, record)
        limits = self.limits
        if self._has_rarer_suspect(part_hash, record):
            return Clear()
        if record.is_on_probation:
            deaths_max = 1
        elif self._count_contents(part_hash, record) < limits.part_contents_min:
            # The content of the one request is the likelier cause.
            return Clear()
        else:
            deaths_max = limits.part_deaths_max
        if counted >= deaths_max:
            return replace(
                self._quarantine(part_hash, record, counted), is_part=True
            )
        is_last = counted == deaths_max - 1
        if not is_last:
            return Clear()
        return Suspect(counted, self._is_tried(part_hash))

    def _part_deaths(self, part_hash: int) -> int:
        record = self._record_by_fingerprint.get(part_hash)
        return self._own_deaths(part_hash, record) if record else 0

    def _count_contents(self, part_hash: int, record: _Record) -> int:
        """Return the number of different requests with a part that died.

        Of deaths under a quarantined part beside it the cause is known.
        """
        death_ids = self.deaths.without_culprit_beside(
            part_hash, record.death_ids, self._quarantined_hashes
        )
        deaths = map(self.deaths.get, death_ids)
        return len(
            {
                request[0]
                for death in deaths
                if death is not None
                for request in death.suspects
                if part_hash in request
            }
        )

    def _has_rarer_suspect(self, part_hash: int, record: _Record) -> bool:
        """Return whether a part that fewer requests share is likelier.

        A part that most requests share is beside the cause of nearly every
        death. It is not blamed while a rarer one has as many of its deaths, all
        but one at most, since other processes may not have told the last yet.
        """
        death_ids = set(record.death_ids)
        if len(death_ids) < SHARED_DEATHS_MIN:
            return False
        starts = self._starts_by_part.get(part_hash, 0)
        return any(
            self._starts_by_part.get(other, 0) < starts
            and self._count_open(other, death_ids) >= len(death_ids) - 1
            for other in self._parts_beside(part_hash, death_ids)
        )

    def _parts_beside(self, part_hash: int, death_ids: set[int]) -> set[int]:
        """Return the other parts of the requests that some deaths had."""
        requests: set[RequestHashes] = set()
        for death in map(self.deaths.get, death_ids):
            if death is not None:
                requests |= death.suspects
        parts = {one for request in requests for one in request[1:]}
        return parts - {part_hash}

    def _count_open(self, part_hash: int, death_ids: set[int]) -> int:
        """Return how many of some deaths a part is charged with too."""
        record = self._record_by_fingerprint.get(part_hash, _Record())
        return len(death_ids.intersection(record.death_ids))

    def _count_start(self, part_hash: int) -> None:
        starts = self._starts_by_part
        starts[part_hash] = starts.pop(part_hash, 0) + 1
        if len(starts) > RECORDS_MAX:
            starts.popitem(last=False)

    def _blamed_for(self, part_hash: int) -> list[int]:
        """Return the quarantined parts whose deaths all have another part.

        If that part also has deaths without them, it is the cause of all.
        """
        culprit_ids = self._record(part_hash).death_ids
        return [
            other
            for other in self._quarantined_hashes
            if other != part_hash
            and self._is_always_beside(other, part_hash)
            and len(self._record(other).death_ids) < len(culprit_ids)
        ]

    def _is_always_beside(self, fingerprint: int, part_hash: int) -> bool:
        """Return whether all requests charged with a part have another one."""
        deaths = map(self.deaths.get, self._record(fingerprint).death_ids)
        requests = [
            request
            for death in deaths
            if death is not None
            for request in death.suspects
            if fingerprint in request[1:]
        ]
        return bool(requests) and all(
            part_hash in request[1:] for request in requests
        )

    def _record_death(self, death: Death, death_id: int | None) -> int:
        known = death_id is not None and self.deaths.get(death_id)
        death_id = self.deaths.record(death, death_id)
        at_ms = known.at_ms if known else death.at_ms
        for request in death.begun:
            record = self._record(request[0])
            is_known = death_id in record.begun_death_ids
            if at_ms >= record.completed_ms and not is_known:
                record.begun_death_ids.append(death_id)
        for fingerprint in chain.from_iterable(death.running | death.waiting):
            record = self._record(fingerprint)
            if at_ms >= record.cleared_ms and death_id not in record.death_ids:
                record.death_ids.append(death_id)
            self._changed_fingerprints.add(fingerprint)
        return death_id

    def _counted_deaths(self, content_hash: int, record: _Record) -> int:
        own = self._own_deaths(content_hash, record)
        if self._is_always_waiting(content_hash, record):
            own = self.deaths.count_for(
                content_hash,
                record.death_ids,
                self._quarantined_hashes,
                counts_waiting=True,
            )
        return own + sum(record.deaths_by_peer.values())

    def _is_always_waiting(self, fingerprint: int, record: _Record) -> bool:
        """Return whether a content was at far more deaths than those beside it.

        Of those that wait at one death each may be the cause. Of those that
        waited at several, the sound ones were resumed at different upstreams.
        """
        needed = len(record.death_ids)
        if needed < WAITING_DEATHS_MIN:
            return False
        requests = chain.from_iterable(
            death.suspects
            for death in map(self.deaths.get, record.death_ids)
            if death is not None
        )
        deaths_by_content = Counter(request[0] for request in requests)
        own = deaths_by_content.pop(fingerprint, 0)
        others = max(deaths_by_content.values(), default=0)
        return own - others >= WAITING_LEAD_MIN

    def _own_deaths(self, content_hash: int, record: _Record) -> int:
        return self.deaths.count_for(
            content_hash, record.death_ids, self._quarantined_hashes
        )

    def _correlation_wait_ms(self, record: _Record) -> float:
        window_ms = self.limits.correlation.window_ms
        peer_ms = record.peer_ms + window_ms - self.clock.now_ms()
        return max(peer_ms, self.deaths.correlation_wait_ms(record.death_ids))

    def _is_suspect_attempt(self, attempt: _Attempt) -> bool:
        content_hash = attempt.hashes[0]
        record = self._record_by_fingerprint.get(content_hash)
        if record is None:
            return False
        if self._may_crash_late(content_hash, record):
            return True
        if self._has_progressed(attempt):
            return False
        counted = self._counted_deaths(content_hash, record)
        return self._needs_isolation(record, counted)

    def _needs_isolation(self, record: _Record, counted: int) -> bool:
        """Return whether a request must be isolated from other suspects.

        After the loss of many upstreams at once, all requests that ran on them
        are resumed; isolating them would make them wait for one another. From
        its second counted death on, a request is isolated even if other
        upstreams died at the same time.
        """
        if record.is_on_probation:
            return True
        if counted != 1 or not record.death_ids:
            return counted > 0
        return not self.deaths.is_simultaneous_loss(record.death_ids)

    def _is_tried(self, fingerprint: int) -> bool:
        """Return whether an attempt without progress is under way."""
        return any(
            fingerprint in attempt.hashes and not self._has_progressed(attempt)
            for attempts in self._attempts_by_agent.values()
            for attempt in attempts.values()
        )

    def _is_under_way(self, content_hash: int) -> bool:
        """Return whether an attempt of a content is under way."""
        return any(
            content_hash == attempt.hashes[0]
            for attempts in self._attempts_by_agent.values()
            for attempt in attempts.values()
        )

    def _has_progressed(self, attempt: _Attempt) -> bool:
        return attempt.produced >= self.limits.progress_min

    def _quarantine(
        self, content_hash: int, record: _Record, deaths: int
    ) -> Quarantined:
        limits = self.limits
        growth = limits.quarantine_growth**record.quarantines
        quarantine_ms = min(limits.quarantine_ms * growth, QUARANTINE_MS)
        record.quarantines += 1
        notice = Quarantine(content_hash, deaths, confirmed=True)
        self.restore_quarantine(notice, quarantine_ms)
        self.sink.quarantined(notice)
        return Quarantined(record.confirmed_deaths, quarantine_ms)

    def _end_quarantine(self, content_hash: int, record: _Record) -> None:
        """Put a fingerprint on probation once its quarantine has passed."""
        until_ms = record.quarantined_until_ms
        if until_ms and until_ms <= self.clock.now_ms():
            record.quarantined_until_ms = 0
            later_ids = self._since(until_ms, record.death_ids)
            self._clear_counted_deaths(content_hash)
            record.death_ids = later_ids
            record.begun_death_ids = self._since(
                until_ms, record.begun_death_ids
            )
            record.is_on_probation = True
            self._quarantined_hashes.discard(content_hash)

    def _since(self, start_ms: float, death_ids: Iterable[int]) -> list[int]:
        """Return the deaths from a time on."""
        return [
            death_id
            for death_id in death_ids
            if (death := self.deaths.get(death_id)) is not None
            and death.at_ms >= start_ms
        ]

    def _clear_sound(self, hashes: RequestHashes) -> tuple[int, ...]:
        """Clear content and parts; return those that had deaths."""
        content_hash, *part_hashes = hashes
        parts = self._clear_parts(part_hashes)
        if self._clear_counted_deaths(content_hash):
            return (content_hash, *parts)
        return parts

    def _clear_parts(self, part_hashes: Iterable[int]) -> tuple[int, ...]:
        """Clear parts that are proved sound, also if they are quarantined."""
        cleared = []
        for part_hash in part_hashes:
            is_quarantined = part_hash in self._quarantined_hashes
            if is_quarantined:
                self.merge_clear(part_hash)
            if self._clear_counted_deaths(part_hash) or is_quarantined:
                cleared.append(part_hash)
        return tuple(cleared)

    def _clear_begun_deaths(self, content_hash: int) -> bool:
        """Clear the deaths of any kind; return whether there were any."""
        record = self._record_by_fingerprint.get(content_hash)
        if record is None or record.quarantined_until_ms:
            return False
        has_cleared = bool(record.begun_death_ids) or record.needs_completion
        record.begun_death_ids.clear()
        record.needs_completion = False
        record.completed_ms = self.clock.now_ms()
        return has_cleared

    def _clear_counted_deaths(self, content_hash: int) -> bool:
        """Clear the counted deaths; return whether there were any."""
        record = self._record_by_fingerprint.get(content_hash)
        if record is None or record.quarantined_until_ms:
            return False
        has_cleared = bool(record.death_ids) or record.is_on_probation
        record.death_ids.clear()
        record.deaths_by_peer.clear()
        record.is_on_probation = False
        record.cleared_ms = self.clock.now_ms()
        self._changed_fingerprints.add(content_hash)
        return has_cleared

    def _record(self, content_hash: int) -> _Record:
        record = self._record_by_fingerprint.setdefault(content_hash, _Record())
        self._record_by_fingerprint.move_to_end(content_hash)
        if len(self._record_by_fingerprint) > RECORDS_MAX:
            self._evict_record()
        return record

    def _evict_record(self) -> None:
        """Remove the oldest record; a quarantined one only if all are."""
        by_fingerprint = self._record_by_fingerprint
        evicted = next(
            (
                one
                for one in by_fingerprint
                if one not in self._quarantined_hashes
            ),
            next(iter(by_fingerprint)),
        )
        self.release(evicted)


def _hashes_of(attempts: Iterable[_Attempt]) -> frozenset[RequestHashes]:
    return frozenset(attempt.hashes for attempt in attempts)
