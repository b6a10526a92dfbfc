"""Exchanges crashes of upstreams and quarantines with the other entries.

An entry tells the entries of its own region, and one entry of each other
region, which passes the message on to its region. An entry that starts asks
another one for all that is known.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import chain, islice
from typing import Annotated, Protocol

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.region_messages import RegionMessages
from bergamotthread.process.background_tasks import BackgroundTasks
from bergamotthread.process.poison.death_log import DeathNotice
from bergamotthread.process.poison.guard import PoisonGuard
from bergamotthread.process.relay.crash_watch import (
    RELAYED_LIMITS,
    CrashListener,
)
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import EntryRecord, FeedSources
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.wire.messages import Quarantine

POISON_PATH = b'/api/poison'
# Pause before a message, so that it has the crashes that happen together.
TELL_INTERVAL_MS = 50
# Crashes told in one message and kept until they are told. Each entry tells
# of so many at once, and all entries together of so many a second. A storm of
# crashes seen by 324 entries costs each of them less than the 16 KB/s that it
# has for control.
DEATHS_TOLD_MAX = 4
DEATHS_TOLD_PER_S = 30.0
DEATHS_WAITING_MAX = 64
# Items in one message of each kind.
TOLD_MAX = 256
# Requests of one crash that are told, and fingerprints of each.
REQUESTS_TOLD_MAX = 32
HASHES_TOLD_MAX = 32
# Requests of one crash that are told although they had made progress.
PROGRESSED_TOLD_MAX = 8
# Time for which an entry that starts looks for one to ask, and the pause
# between two attempts.
ASK_TIMEOUT_MS = 10_000
ASK_INTERVAL_MS = 200
ENTRIES_ASKED_MAX = 3
# Fraction by which a quarantine lasts longer at entries that were told of it.
QUARANTINE_SPREAD = 0.25
_MS_PER_S = 1000

_Hash = Annotated[int, msgspec.Meta(ge=0)]
_AT_MOST_HASHES = msgspec.Meta(min_length=1, max_length=HASHES_TOLD_MAX)
_Hashes = Annotated[tuple[_Hash, ...], _AT_MOST_HASHES]
_AT_MOST_REQUESTS = msgspec.Meta(max_length=REQUESTS_TOLD_MAX)
_Requests = Annotated[tuple[_Hashes, ...], _AT_MOST_REQUESTS]
_Duration = Annotated[float, msgspec.Meta(ge=0)]


class _Death(msgspec.Struct, frozen=True, array_like=True):
    death_id: _Hash
    failure_domain: str
    age_ms: _Duration
    running: _Requests
    waiting: _Requests = ()
    sent_age_ms: _Duration = 0
    progressed: _Requests = ()


class _Quarantine(msgspec.Struct, frozen=True, array_like=True):
    content_hash: _Hash
    deaths: int
    remaining_ms: _Duration


_AT_MOST_TOLD = msgspec.Meta(max_length=TOLD_MAX)
_Deaths = Annotated[tuple[_Death, ...], _AT_MOST_TOLD]
_Cleared = Annotated[tuple[_Hash, ...], _AT_MOST_TOLD]
_Quarantines = Annotated[tuple[_Quarantine, ...], _AT_MOST_TOLD]


class PoisonMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one entry learned.

    Parameters
    ----------
    cleared, completed
        Fingerprints that are sound as an attempt made progress, and those of
        them of which an attempt was completed.
    forward
        Whether to pass the message on in the region.
    """

    host: str
    deaths: _Deaths = ()
    cleared: _Cleared = ()
    quarantines: _Quarantines = ()
    forward: bool = False
    completed: _Cleared = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (self.deaths or self.cleared or self.quarantines)


class PoisonSink(Protocol):
    """Keeps what is to outlive this entry or to reach it otherwise."""

    def save_quarantine(self, notice: Quarantine) -> None:
        """Keep a quarantine that this entry decided."""

    def save_crashes(self, message: PoisonMessage) -> None:
        """Keep what could not be told to all entries."""


@dataclass
class PoisonRelay(CrashListener):
    """Tells other entries what this one learns, and applies what they tell.

    Parameters
    ----------
    dropped
        Crashes that were not told because too many waited.
    rows
        Keeps quarantines, and what could not be told to all entries.
    """

    clock: Clock
    peers: PeerMessages
    feeds: FeedSources
    log: DecisionLog
    metrics: RelayMetrics
    rng: random.Random
    dropped: int = 0
    rows: PoisonSink | None = None
    guard: PoisonGuard = field(init=False)
    _regions: RegionMessages = field(init=False)
    _deaths: deque[DeathNotice] = field(default_factory=deque)
    _recorded_ms: deque[float] = field(default_factory=deque)
    _is_completed_by_cleared: dict[int, bool] = field(default_factory=dict)
    _quarantines: list[Quarantine] = field(default_factory=list)
    _learned: asyncio.Event = field(default_factory=asyncio.Event)
    _tokens: float = DEATHS_TOLD_MAX
    _filled_ms: float = 0
    _tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def __post_init__(self) -> None:
        self.guard = PoisonGuard(self.clock, self, limits=RELAYED_LIMITS)
        self._regions = RegionMessages(self.peers, self.feeds, self.rng)

    def upstream_crashed(self, notice: DeathNotice) -> None:
        """Tell the other entries of a crash soon."""
        self._deaths.append(notice)
        self._recorded_ms.append(self.clock.now_ms())
        if len(self._deaths) > DEATHS_WAITING_MAX:
            self._deaths.popleft()
            self._recorded_ms.popleft()
            self.dropped += 1
        self._learned.set()

    def request_cleared(self, fingerprint: int, *, completed: bool) -> None:
        """Tell the other entries soon that a content or a part is sound."""
        was_completed = self._is_completed_by_cleared.get(fingerprint, False)
        self._is_completed_by_cleared[fingerprint] = completed or was_completed
        self._learned.set()

    def quarantined(self, notice: Quarantine) -> None:
        """Log a quarantine of this entry and tell the others soon."""
        self._log_quarantine(notice, self.feeds.own_host)
        self._quarantines.append(notice)
        self._learned.set()
        if self.rows is not None:
            self.rows.save_quarantine(notice)

    def answer(self, method: bytes, body: bytes) -> bytes | None:
        """Answer another entry; None if its message is invalid.

        A GET asks for all that is known.
        """
        if method == b'GET':
            return msgspec.json.encode(self._everything())
        return b'' if self.apply(body) else None

    def apply(self, encoded: bytes) -> bool:
        """Apply a message of another entry; return whether it is valid."""
        try:
            message = msgspec.json.decode(encoded, type=PoisonMessage)
        except msgspec.MsgspecError as error:
            logging.debug('message on crashes is invalid: %s', error)
            return False
        self.apply_message(message)
        if message.forward:
            self._tasks.start(self._pass_on(message))
        return True

    async def run(self) -> None:
        """Ask another entry once, and tell all what this one learns."""
        self._tasks.start(self._ask_another())
        while True:
            await self._learned.wait()
            await self.clock.sleep_ms(TELL_INTERVAL_MS)
            self._learned.clear()
            await self._tell(self._next_message())
            if (
                self._deaths
                or self._is_completed_by_cleared
                or self._quarantines
            ):
                self._learned.set()

    def apply_message(self, message: PoisonMessage, age_ms: float = 0) -> None:
        """Apply what another entry learned; `age_ms` is the message's age."""
        for death in message.deaths:
            self.guard.merge_death(
                DeathNotice(
                    death.death_id,
                    death.failure_domain,
                    death.age_ms + age_ms,
                    frozenset(death.running),
                    frozenset(death.waiting),
                    death.sent_age_ms + age_ms,
                    frozenset(death.progressed),
                )
            )
        for fingerprint in message.cleared:
            was_quarantined = self.guard.is_quarantined(fingerprint)
            if fingerprint in message.completed:
                self.guard.merge_completion(fingerprint)
            else:
                self.guard.merge_clear(fingerprint)
            if was_quarantined and not self.guard.is_quarantined(fingerprint):
                self._log_lifted(fingerprint, message.host)
        for told in message.quarantines:
            notice = Quarantine(told.content_hash, told.deaths, confirmed=True)
            self.apply_quarantine(
                notice, told.remaining_ms - age_ms, message.host
            )

    def apply_quarantine(
        self, notice: Quarantine, remaining_ms: float, host: str
    ) -> None:
        """Apply a quarantine that another entry decided.

        It ends somewhat later here, at another time in each entry: the entry
        that decided it tries the request first, and tells the outcome.
        """
        if self.guard.is_quarantined(notice.fingerprint):
            return
        spread = 1 + self.rng.uniform(0, QUARANTINE_SPREAD)
        self.guard.restore_quarantine(notice, remaining_ms * spread)
        self._log_quarantine(notice, host)

    def lift(self, fingerprint: int) -> None:
        """End a quarantine whose row an operator removed."""
        if self.guard.is_quarantined(fingerprint):
            self.guard.release(fingerprint)
            self._log_lifted(fingerprint, 'row removed')

    def _next_message(self) -> PoisonMessage:
        cleared = tuple(islice(self._is_completed_by_cleared, TOLD_MAX))
        message = PoisonMessage(
            self.feeds.own_host,
            self._next_deaths(),
            cleared,
            tuple(self._encode_quarantines(self._quarantines[:TOLD_MAX])),
            completed=tuple(
                one for one in cleared if self._is_completed_by_cleared[one]
            ),
        )
        for fingerprint in cleared:
            self._is_completed_by_cleared.pop(fingerprint)
        del self._quarantines[:TOLD_MAX]
        return message

    def _next_deaths(self) -> tuple[_Death, ...]:
        """Return the deaths to be told now, within the rate."""
        self._refill()
        deaths = []
        now_ms = self.clock.now_ms()
        while self._deaths and self._tokens >= 1:
            self._tokens -= 1
            waited_ms = now_ms - self._recorded_ms.popleft()
            deaths.append(self._encode_death(self._deaths.popleft(), waited_ms))
        return tuple(deaths)

    def _refill(self) -> None:
        now_ms = self.clock.now_ms()
        per_s = DEATHS_TOLD_PER_S / max(len(self.feeds), 1)
        gained = (now_ms - self._filled_ms) * per_s / _MS_PER_S
        self._tokens = min(self._tokens + gained, DEATHS_TOLD_MAX)
        self._filled_ms = now_ms

    def _everything(self) -> PoisonMessage:
        guard = self.guard
        quarantines = guard.quarantines()[-TOLD_MAX:]
        return PoisonMessage(
            self.feeds.own_host,
            tuple(
                self._encode_death(notice, 0)
                for notice in (*guard.charged_deaths(), *guard.open_deaths())[
                    -TOLD_MAX:
                ]
            ),
            (),
            tuple(
                _Quarantine(notice.fingerprint, notice.deaths, remaining_ms)
                for notice, remaining_ms in quarantines
            ),
        )

    def _encode_death(self, notice: DeathNotice, waited_ms: float) -> _Death:
        return _Death(
            notice.death_id,
            notice.failure_domain,
            notice.age_ms + waited_ms,
            tuple(sorted(notice.running))[:REQUESTS_TOLD_MAX],
            tuple(sorted(notice.waiting))[:REQUESTS_TOLD_MAX],
            notice.sent_age_ms + waited_ms,
            self.guard.most_charged(notice.progressed, PROGRESSED_TOLD_MAX),
        )

    def _encode_quarantines(
        self, notices: Iterable[Quarantine]
    ) -> Iterable[_Quarantine]:
        for notice in notices:
            remaining_ms = self.guard.quarantine_remaining_ms(
                notice.fingerprint
            )
            yield _Quarantine(notice.fingerprint, notice.deaths, remaining_ms)

    async def _tell(self, message: PoisonMessage) -> None:
        if message.is_empty:
            return
        forwarded = msgspec.structs.replace(message, forward=True)
        entries_failed, regions_failed = await self._regions.tell_all(
            POISON_PATH,
            msgspec.json.encode(message),
            msgspec.json.encode(forwarded),
        )
        if self.rows is not None and (entries_failed or regions_failed):
            self.rows.save_crashes(message)
        self.log.write(
            'crashes-told',
            deaths=len(message.deaths),
            cleared=len(message.cleared),
            quarantines=len(message.quarantines),
            entries_failed=entries_failed,
            regions_failed=regions_failed,
            waiting=len(self._deaths),
            dropped=self.dropped,
        )

    async def _pass_on(self, message: PoisonMessage) -> None:
        passed_on = msgspec.structs.replace(message, forward=False)
        await self._regions.tell_region(
            POISON_PATH, msgspec.json.encode(passed_on)
        )

    async def _ask_another(self) -> None:
        """Ask for all that is known, entries of the own region first."""
        end_ms = self.clock.now_ms() + ASK_TIMEOUT_MS
        while self.clock.now_ms() < end_ms:
            if await self._ask_any(self._entries_to_ask()):
                return
            await self.clock.sleep_ms(ASK_INTERVAL_MS)

    def _entries_to_ask(self) -> list[EntryRecord]:
        others = self.feeds.entries_by_other_region().values()
        entries = chain(self.feeds.local_entries(), *others)
        return list(islice(entries, ENTRIES_ASKED_MAX))

    async def _ask_any(self, entries: Iterable[EntryRecord]) -> bool:
        """Ask entries in turn; return whether one answered."""
        for entry in entries:
            known = await self.peers.ask(entry, POISON_PATH)
            if known is not None and self.apply(known):
                self.log.write('crashes-asked', entry=entry.host)
                return True
        return False

    def _log_lifted(self, fingerprint: int, decided_by: str) -> None:
        self.log.write(
            'quarantine-lifted',
            fingerprint=f'{fingerprint:016x}',
            decided_by=decided_by,
        )

    def _log_quarantine(self, notice: Quarantine, host: str) -> None:
        self.metrics.quarantines.increment()
        self.log.write(
            'quarantined',
            fingerprint=f'{notice.fingerprint:016x}',
            deaths=notice.deaths,
            decided_by=host,
        )
