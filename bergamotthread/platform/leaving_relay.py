"""Tells the other entries of the region which upstreams are leaving.

An entry that learns it from an answer tells the others once, and does not
repeat it: each of them learns it from its own answers as well.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from itertools import islice
from typing import Annotated

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.relayed_feed import MessageAnswer
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import FeedSources
from bergamotthread.process.relay.upstreams import UpstreamRecord
from bergamotthread.request.relay.leaving_notices import LeavingNotices

LEAVING_PATH = b'/api/upstreams-leaving'
# Pause before a message, so that it has the upstreams that leave together.
TELL_INTERVAL_MS = 100
# Incarnations in one message. Further ones follow in the next.
TOLD_MAX = 256

_StartedMs = Annotated[int, msgspec.Meta(ge=0)]
_Incarnation = tuple[str, _StartedMs]


class _Message(msgspec.Struct, frozen=True):
    """Instances that are leaving, with the calendar times of their starts."""

    host: str
    leaving: Annotated[
        tuple[_Incarnation, ...], msgspec.Meta(max_length=TOLD_MAX)
    ]


@dataclass
class LeavingRelay:
    """Exchanges leaving upstreams with the other entries of the region."""

    clock: Clock
    peers: PeerMessages
    feeds: FeedSources
    notices: LeavingNotices
    log: DecisionLog
    _untold: dict[str, int] = field(default_factory=dict)
    _learned: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, record: UpstreamRecord) -> None:
        """Tell the other entries of an upstream soon."""
        self._untold[record.instance] = record.started_ms
        self._learned.set()

    @property
    def answer_by_path(self) -> dict[bytes, MessageAnswer]:
        """Return what answers the messages of other entries."""
        return {LEAVING_PATH: self.answer}

    def answer(self, method: bytes, body: bytes) -> bytes | None:
        """Answer a message of another entry; None if it is invalid."""
        return b'' if self.apply(body) else None

    def apply(self, encoded: bytes) -> bool:
        """Apply a message of another entry; return whether it is valid."""
        try:
            message = msgspec.json.decode(encoded, type=_Message)
        except msgspec.MsgspecError as error:
            logging.debug('message on leaving upstreams is invalid: %s', error)
            return False
        for instance, started_ms in message.leaving:
            self.notices.apply_told(instance, started_ms, message.host)
        return True

    async def run(self) -> None:
        """Tell the other entries what this one learns, until cancelled."""
        while True:
            await self._learned.wait()
            await self.clock.sleep_ms(TELL_INTERVAL_MS)
            await self._tell_all(self._next_incarnations())
            if not self._untold:
                self._learned.clear()

    def _next_incarnations(self) -> tuple[_Incarnation, ...]:
        incarnations = tuple(islice(self._untold.items(), TOLD_MAX))
        for instance, _ in incarnations:
            self._untold.pop(instance)
        return incarnations

    async def _tell_all(self, incarnations: tuple[_Incarnation, ...]) -> None:
        encoded = msgspec.json.encode(
            _Message(self.feeds.own_host, incarnations)
        )
        entries = self.feeds.local_entries()
        failed = await self.peers.tell(entries, LEAVING_PATH, encoded)
        self.log.write(
            'leaving-told',
            upstreams=len(incarnations),
            entries=len(entries),
            failed=len(failed),
        )
