"""Callers of a soak, with an HTTP client that is independent of the product."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from bergamotthread.clock import Clock
from bergamotthread.testing.loopback import connect
from soak.records import Call, Ending, Kind
from standins.platform_runner import REQUEST_ID, SEAL

# Deadline of a stream. A stream of the stand-ins lasts about 3 s; more than
# twice that leaves time to resume at another back end after a loss.
STREAM_TIME_MS = 15_000
PLAIN_TIME_MS = 1500
# Time that a caller waits for an answer after the deadline of its request.
ANSWER_GRACE_MS = 3000
# Fraction of the requests whose caller disconnects within a second.
LEAVING_FRACTION = 0.1
# Fraction of the requests with a key that may be revoked during the soak, and
# fraction of the lookups for a route that a published version added.
REVOCABLE_KEY_FRACTION = 0.2
ADDED_ROUTE_FRACTION = 0.2
# Delay before callers look again while the balancer's rotation is empty.
NO_ENTRY_RETRY_MS = 50
_DRAWN_KINDS = (
    *(Kind.STREAM,) * 5,
    Kind.ONCE_STREAM,
    *(Kind.ONCE,) * 4,
    *(Kind.LOOKUP,) * 4,
)
# Times that a caller takes up a stream that was cut.
TAKE_UPS_MAX = 3
_EVENT_ID = re.compile(rb'id: (\d+)\ndata: [^\n]+\n\n')
_OK = 200
_MS_PER_S = 1000


@dataclass
class Answer:
    """The answer received on a connection, as far as it came."""

    status: int = 0
    head_ms: float = 0
    sealed: bool = False
    keeps: bool = False
    body: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True)
class Place:
    """Address of an entry, and the incarnation of its process."""

    name: str
    address: str
    incarnation: int


@dataclass(frozen=True)
class Choices:
    """Entries, paths and keys that callers may choose from now."""

    places: Callable[[], Sequence[Place]]
    added_paths: Callable[[], Sequence[str]]
    lasting_key: str
    other_keys: Sequence[str]


@dataclass(frozen=True)
class Request:
    """A request to be sent."""

    name: str
    kind: Kind
    path: str
    key: str
    leaves_after_ms: float | None
    prompt: str = ''
    origin: str = ''
    resumed_after: int = 0

    @property
    def time_ms(self) -> float:
        """Return the deadline of the request."""
        return STREAM_TIME_MS if self.kind.is_stream else PLAIN_TIME_MS

    def encode(self) -> bytes:
        """Return the request as bytes of HTTP/1.1."""
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
        if self.origin:
            lines.append(f'last-event-id: {self.resumed_after}')
            lines.append(f'resumes: {self.origin}')
        body = (
            '' if method == 'GET' else self.prompt or f'prompt of {self.name}'
        )
        if body:
            lines.append(f'content-length: {len(body)}')
        return '\r\n'.join([*lines, '', body]).encode()


class Caller:
    """Sends one request after another, on a persistent connection if it can."""

    def __init__(
        self,
        name: str,
        choices: Choices,
        clock: Clock,
        seed: int,
    ) -> None:
        self.calls: list[Call] = []
        self._name = name
        self._choices = choices
        self._clock = clock
        self._rng = random.Random(f'{seed} {name}')
        self._place = Place('', '', 0)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        try:
            while True:
                number += 1
                await self._call_until_whole(self._draw(number))
                pause_ms = self._rng.uniform(0, 100)
                await self._clock.sleep_ms(pause_ms)
        finally:
            self._close()

    def _draw(self, number: int) -> Request:
        rng = self._rng
        kind = rng.choice(_DRAWN_KINDS)
        path = str(kind)
        added = self._choices.added_paths()
        if (
            added
            and kind is Kind.LOOKUP
            and rng.random() < ADDED_ROUTE_FRACTION
        ):
            path = rng.choice(added)
        key = self._choices.lasting_key
        if rng.random() < REVOCABLE_KEY_FRACTION:
            key = rng.choice(self._choices.other_keys)
        is_leaving = rng.random() < LEAVING_FRACTION
        leaves_after_ms = rng.uniform(100, 1000) if is_leaving else None
        name = f'{self._name}-{number}'
        return Request(name, kind, path, key, leaves_after_ms)

    async def _call_until_whole(self, request: Request) -> None:
        """Send a request; take a stream that was cut up again, elsewhere."""
        call = await self._call(request)
        last_event = 0
        for number in range(TAKE_UPS_MAX):
            events = _EVENT_ID.findall(call.body)
            last_event = int(events[-1]) if events else last_event
            is_cut = call.ending is Ending.CUT or call.status != _OK
            if call.kind is not Kind.STREAM or not is_cut or not last_event:
                return
            call = await self._call(
                replace(
                    request,
                    name=f'{request.name}-up{number}',
                    leaves_after_ms=None,
                    origin=request.name,
                    resumed_after=last_event,
                )
            )

    async def _call(self, request: Request) -> Call:
        place = await self._choose_place()
        sent_ms = self._clock.now_ms()
        answer = Answer()
        ending = await self._ending(request, place, answer)
        call = Call(
            request.name,
            request.kind,
            request.path,
            request.key,
            place.name,
            place.incarnation,
            sent_ms,
            self._clock.now_ms(),
            ending,
            answer.status,
            answer.sealed,
            bytes(answer.body),
            answer.head_ms,
            request.origin,
            request.resumed_after,
        )
        self.calls.append(call)
        if ending is not Ending.WHOLE or not answer.keeps:
            self._close()
        return call

    async def _choose_place(self) -> Place:
        """Return the entry for the next request.

        It is the last one while its connection is open, even if the balancer
        has removed it from its rotation since.
        """
        if self._reader is not None and not self._reader.at_eof():
            return self._place
        self._close()
        places = self._choices.places()
        while not places:
            await self._clock.sleep_ms(NO_ENTRY_RETRY_MS)
            places = self._choices.places()
        self._place = self._rng.choice(places)
        return self._place

    async def _ending(
        self,
        request: Request,
        place: Place,
        answer: Answer,
    ) -> Ending:
        leaves_after_ms = request.leaves_after_ms
        timeout_ms = leaves_after_ms or request.time_ms + ANSWER_GRACE_MS
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await self._exchange(request, place, answer)
        except TimeoutError:
            return Ending.LEFT if leaves_after_ms else Ending.UNANSWERED
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
                connection = await connect(place.address)
            except OSError:
                return Ending.UNCONNECTED
            self._reader = connection[0]
            self._writer = connection[1]
        assert self._reader is not None
        self._writer.write(request.encode())
        await self._writer.drain()
        headers = await _read_head(self._reader, answer)
        answer.head_ms = self._clock.now_ms()
        await _read_body(self._reader, answer, headers)
        return Ending.WHOLE

    def _close(self) -> None:
        if self._writer is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._writer.close()
        self._reader = None
        self._writer = None


async def _read_head(
    reader: asyncio.StreamReader,
    answer: Answer,
) -> dict[bytes, bytes]:
    """Read the head of an answer; raise if the connection ends before it."""
    head = await reader.readuntil(b'\r\n\r\n')
    status_line, _, header_lines = head.partition(b'\r\n')
    answer.status = int(status_line.split(b' ')[1])
    headers = {}
    for line in header_lines.split(b'\r\n'):
        name, _, header_value = line.partition(b':')
        headers[name.strip().lower()] = header_value.strip()
    answer.sealed = SEAL in headers
    answer.keeps = headers.get(b'connection') != b'close'
    return headers


async def _read_body(
    reader: asyncio.StreamReader,
    answer: Answer,
    headers: dict[bytes, bytes],
) -> None:
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
