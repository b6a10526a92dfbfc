"""Callers of a soak, with a client of HTTP that is not the product's."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.testing.loopback import connect
from soak.records import Asked, Ending, Kind
from standins.platform_runner import REQUEST_ID, SEAL

# A stream of the stand-ins lasts about 3 s; twice that leaves time to go on
# elsewhere after a loss.
STREAM_TIME_MS = 15_000
PLAIN_TIME_MS = 1500
# Beyond its time limit, a caller waits this long for a last word.
LAST_WORD_MS = 3000
# Share of the requests whose caller leaves within a second.
LEAVING_SHARE = 0.1
# Share of the requests with a key that was or will be taken away, and of
# those that ask for a route that a version added.
SPARE_KEY_SHARE = 0.2
ADDED_ROUTE_SHARE = 0.2
# Pause while no entry is in the balancer's rotation.
NO_PLACE_MS = 50
_DRAWN_KINDS = (
    *(Kind.STREAM,) * 5,
    Kind.ONCE_STREAM,
    *(Kind.ONCE,) * 4,
    *(Kind.LOOKUP,) * 4,
)
_MS_PER_S = 1000


@dataclass
class Answer:
    """What came on a connection."""

    status: int = 0
    sealed: bool = False
    keeps: bool = False
    body: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True)
class Place:
    """Where an entry listens, and which of its processes is meant."""

    name: str
    address: str
    life: int


@dataclass(frozen=True)
class Choices:
    """What callers may ask for now."""

    places: Callable[[], Sequence[Place]]
    added_paths: Callable[[], Sequence[str]]
    lasting_key: str
    other_keys: Sequence[str]


@dataclass(frozen=True)
class Request:
    """One request before it is sent."""

    name: str
    kind: Kind
    path: str
    key: str
    leaves_after_ms: float | None

    @property
    def time_ms(self) -> float:
        """Return the caller's time limit."""
        return STREAM_TIME_MS if self.kind.is_stream else PLAIN_TIME_MS

    def encode(self) -> bytes:
        """Return the bytes to send."""
        method = 'GET' if self.kind is Kind.LOOKUP else 'POST'
        lines = [
            f'{method} {self.path}x HTTP/1.1',
            'host: h.example',
            f'{REQUEST_ID.decode()}: {self.name}',
            f'bergamotthread-deadline-remaining: {self.time_ms:.0f}',
            f'authorization: Bearer {self.key}',
        ]
        if self.kind.is_stream:
            lines.append('bergamotthread-token-counts: 800,60')
        body = '' if method == 'GET' else f'prompt of {self.name}'
        if body:
            lines.append(f'content-length: {len(body)}')
        return '\r\n'.join([*lines, '', body]).encode()


class Caller:
    """Sends one request after another, often on a kept connection."""

    def __init__(
        self,
        name: str,
        choices: Choices,
        clock: Clock,
        seed: int,
    ) -> None:
        self.asked: list[Asked] = []
        self._name = name
        self._choices = choices
        self._clock = clock
        self._rng = random.Random(f'{seed} {name}')
        self._place = Place('', '', 0)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Call until cancelled."""
        number = 0
        try:
            while True:
                number += 1
                await self._call(self._draw(number))
                pause_ms = self._rng.uniform(0, 100)
                await self._clock.sleep_ms(pause_ms)
        finally:
            self._close()

    def _draw(self, number: int) -> Request:
        rng = self._rng
        kind = rng.choice(_DRAWN_KINDS)
        path = str(kind)
        added = self._choices.added_paths()
        if added and kind is Kind.LOOKUP and rng.random() < ADDED_ROUTE_SHARE:
            path = rng.choice(added)
        key = self._choices.lasting_key
        if rng.random() < SPARE_KEY_SHARE:
            key = rng.choice(self._choices.other_keys)
        leaves = rng.random() < LEAVING_SHARE
        leaves_after_ms = rng.uniform(100, 1000) if leaves else None
        name = f'{self._name}-{number}'
        return Request(name, kind, path, key, leaves_after_ms)

    async def _call(self, request: Request) -> None:
        place = await self._choose_place()
        sent_ms = self._clock.now_ms()
        answer = Answer()
        ending = await self._ending(request, place, answer)
        self.asked.append(
            Asked(
                request.name,
                request.kind,
                request.path,
                request.key,
                place.name,
                place.life,
                sent_ms,
                self._clock.now_ms(),
                ending,
                answer.status,
                answer.sealed,
                bytes(answer.body),
            ),
        )
        if ending is not Ending.WHOLE or not answer.keeps:
            self._close()

    async def _choose_place(self) -> Place:
        """Return the entry to ask; the last one until it closes.

        A connection that is open outlives the place in the balancer's rotation.
        """
        if self._reader is not None and not self._reader.at_eof():
            return self._place
        self._close()
        places = self._choices.places()
        while not places:
            await self._clock.sleep_ms(NO_PLACE_MS)
            places = self._choices.places()
        self._place = self._rng.choice(places)
        return self._place

    async def _ending(
        self,
        request: Request,
        place: Place,
        answer: Answer,
    ) -> Ending:
        leaves_ms = request.leaves_after_ms
        limit_ms = leaves_ms or request.time_ms + LAST_WORD_MS
        try:
            async with asyncio.timeout(limit_ms / _MS_PER_S):
                return await self._exchange(request, place, answer)
        except TimeoutError:
            return Ending.LEFT if leaves_ms else Ending.UNANSWERED
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return Ending.CUT

    async def _exchange(
        self,
        request: Request,
        place: Place,
        answer: Answer,
    ) -> Ending:
        if self._writer is None:
            try:
                opened = await connect(place.address)
            except OSError:
                return Ending.UNCONNECTED
            self._reader = opened[0]
            self._writer = opened[1]
        assert self._reader is not None
        self._writer.write(request.encode())
        await self._writer.drain()
        await _read_answer(self._reader, answer)
        return Ending.WHOLE

    def _close(self) -> None:
        if self._writer is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._writer.close()
        self._reader = None
        self._writer = None


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read a whole answer; an end before its end is an error."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, _, rest = head.partition(b'\r\n')
    answer.status = int(first.split(b' ')[1])
    headers = {}
    for line in rest.split(b'\r\n'):
        name, _, told = line.partition(b':')
        headers[name.strip().lower()] = told.strip()
    answer.sealed = SEAL in headers
    answer.keeps = headers.get(b'connection') != b'close'
    if headers.get(b'transfer-encoding') == b'chunked':
        await _read_chunks(reader, answer)
    else:
        length = int(headers[b'content-length'])
        answer.body += await reader.readexactly(length)


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        size = int(await reader.readline(), 16)
        payload = await reader.readexactly(size + 2)
        if not size:
            return
        answer.body += payload[:-2]
