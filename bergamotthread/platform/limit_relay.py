"""Tells all entries which upstreams state limits on requests, and their end.

An upstream in need would otherwise get a request of each entry before all know,
and one that has recovered would be spared by entries that have no share of its
limit and so get no answer of it.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from itertools import islice
from typing import Annotated

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.region_messages import RegionMessages
from bergamotthread.platform.relayed_feed import MessageAnswer
from bergamotthread.process.background_tasks import BackgroundTasks
from bergamotthread.process.relay.feed_sources import FeedSources
from bergamotthread.request.relay.limit_notices import LimitChange, LimitNotices

LIMITS_PATH = b'/api/limits'
# Pause before a message, so that it has the limits that change together.
TELL_INTERVAL_MS = 50
# Limits in one message. Further ones follow in the next.
TOLD_MAX = 256


class _Limit(msgspec.Struct, frozen=True, array_like=True):
    instance: str
    started_ms: Annotated[int, msgspec.Meta(ge=0)]
    per_s: Annotated[float, msgspec.Meta(ge=0)] | None
    age_ms: Annotated[float, msgspec.Meta(ge=0)]


class _Message(msgspec.Struct, frozen=True):
    """Limits that changed; `forward` asks to pass them on in the region."""

    host: str
    limits: Annotated[tuple[_Limit, ...], msgspec.Meta(max_length=TOLD_MAX)]
    forward: bool = False


@dataclass
class LimitRelay:
    """Exchanges limits of upstreams with all other entries."""

    regions: RegionMessages
    notices: LimitNotices
    _untold: dict[tuple[str, int], LimitChange] = field(default_factory=dict)
    _learned: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def __post_init__(self) -> None:
        self.notices.listeners.append(self._add)

    @classmethod
    def from_peers(
        cls,
        peers: PeerMessages,
        feeds: FeedSources,
        rng: random.Random,
        notices: LimitNotices,
    ) -> LimitRelay:
        """Return a relay of what the notices learn."""
        return cls(RegionMessages(peers, feeds, rng), notices)

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""
        return self.notices.directory.clock

    @property
    def answer_by_path(self) -> dict[bytes, MessageAnswer]:
        """Return what answers the messages of other entries."""
        return {LIMITS_PATH: self.answer}

    def answer(self, method: bytes, body: bytes) -> bytes | None:
        """Apply a message of another entry; None if it is invalid."""
        try:
            message = msgspec.json.decode(body, type=_Message)
        except msgspec.MsgspecError as error:
            logging.debug('message on limits is invalid: %s', error)
            return None
        now_ms = self.clock.now_ms()
        for told in message.limits:
            change = LimitChange(
                told.instance,
                told.started_ms,
                told.per_s,
                now_ms - told.age_ms,
            )
            self.notices.apply_told(change, message.host)
        if message.forward:
            passed_on = msgspec.structs.replace(message, forward=False)
            self._tasks.start(self._pass_on(passed_on))
        return b''

    async def run(self) -> None:
        """Tell the other entries what this one learns, until cancelled."""
        while True:
            await self._learned.wait()
            await self.clock.sleep_ms(TELL_INTERVAL_MS)
            await self._tell_next()
            if not self._untold:
                self._learned.clear()

    def _add(self, change: LimitChange) -> None:
        self._untold[change.instance, change.started_ms] = change
        self._learned.set()

    async def _tell_next(self) -> None:
        now_ms = self.clock.now_ms()
        keys = list(islice(self._untold, TOLD_MAX))
        changes = [self._untold.pop(key) for key in keys]
        limits = tuple(
            _Limit(
                change.instance,
                change.started_ms,
                change.per_s,
                now_ms - change.at_ms,
            )
            for change in changes
        )
        message = _Message(self.regions.feeds.own_host, limits)
        forwarded = msgspec.structs.replace(message, forward=True)
        entries_failed, regions_failed = await self.regions.tell_all(
            LIMITS_PATH,
            msgspec.json.encode(message),
            msgspec.json.encode(forwarded),
        )
        self.notices.log.write(
            'limits-told',
            upstreams=len(limits),
            entries_failed=entries_failed,
            regions_failed=regions_failed,
        )

    async def _pass_on(self, message: _Message) -> None:
        encoded = msgspec.json.encode(message)
        await self.regions.tell_region(LIMITS_PATH, encoded)
