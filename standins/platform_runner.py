"""Stand-in for the platform's runners: model runners and plain services.

It can refuse requests, cut or stall answers and copy KV cache.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import Header
from standins.platform_server import StandInServer

MODEL = 'model-service'
PLAIN = 'plain-service'
KEY = 'key-one'
SEAL = b'bergamotthread-response-seal'
REQUEST_ID = b'bergamotthread-request-id'
LEAVING = b'server-leaving'
REQUEST_LIMIT = b'server-limit'
PROMPT_PARTS = b'bergamotthread-prompt-prefix'
EVENT_MS = 40
PREFILL_MS = 400
# Number of events of a complete stream.
STREAM_EVENTS = 60
# Events of a stream that a request sends before it crashes the runner.
CRASH_EVENTS = 2
_OK = 200
_ERROR = 500


@dataclass
class Seen:
    """A request that reached a runner."""

    headers: dict[bytes, bytes]
    method: bytes
    target: bytes
    body: bytes
    at_ms: float
    ended_ms: float = 0

    @property
    def request_id(self) -> bytes:
        """Return the request identifier that the caller sent."""
        return self.headers.get(REQUEST_ID, b'')


def event_of(request_id: bytes, number: int, instance: bytes = b'') -> bytes:
    """Return an event of a stream; it contains the request identifier.

    Parameters
    ----------
    instance
        Runner that the event names too, if not empty.
    """
    text = b'%b @%b' % (request_id, instance) if instance else request_id
    return b'id: %d\ndata: t%d %b\n\n' % (number, number, text)


@dataclass
class RunnerScript:
    """Behaviour and faults of a runner.

    Parameters
    ----------
    not_run
        Whether it refuses requests with the header for "not executed".
    breaks_after
        Number of events after which it resets the connection; for plain
        answers, any number resets it in place of the answer.
    ends_in_event
        Whether it ends the stream normally but within an event.
    repeats
        Number of events before the resume position that it sends again.
    padding
        Bytes of a data line without an end that it sends before each event.
    comment
        Bytes of a comment at the start of each event.
    stalls_after
        Number of events after which it sends no more for 60 s; it still
        answers probes.
    keeps_alive_with, keep_alive_ms
        Bytes that it sends before the first event and while it stalls, and
        the interval at which it does.
    prefill_ms, event_ms
        Time before the first event, and between two of them.
    leaving
        Whether all its answers say that it is leaving.
    extra
        Further header fields of all its answers.
    request_limit
        Requests per second that all its answers state, if not empty.
    error_every
        Each so many answers, one is a 500; 0 for none.
    slowness
        Factor on the time of all work.
    queued
        Requests that its load reports say wait.
    error_prefix
        Only paths that begin with it get errors.
    limits_on_errors
        Whether only answers with 500 state `request_limit`.
    names_itself
        Whether its events name the runner.
    retry_after
        If not empty, it answers requests with 503, the header for "not
        executed" and this value of `retry-after`.
    report_retry_after
        The same for load reports and other control calls, without the header
        for "not executed".
    crash_marks
        A request whose path, body or prompt parts contain one of them crashes
        the runner: a plain one while it runs, a stream after two events.
    crash_events
        Events that such a stream sends before.
    crashes_before_head_ms
        Time after which such a stream crashes the runner instead, before the
        head of its answer; None for after two events.
    turns_away_with
        Status and headers in place of 503 and "not executed" for
        `retry_after`.
    """

    not_run: bool = False
    status: int = 200
    breaks_after: int | None = None
    ends_in_event: bool = False
    repeats: int = 0
    padding: int = 0
    comment: int = 0
    stalls_after: int | None = None
    keeps_alive_with: bytes = b''
    keep_alive_ms: float = 1000
    prefill_ms: float = PREFILL_MS
    event_ms: float = EVENT_MS
    retry_after: str = ''
    report_retry_after: str = ''
    turns_away_with: tuple[int, tuple[Header, ...]] = (
        503,
        ((b'bergamotthread-not-executed', b'1'),),
    )
    answer: bytes = b'answer'
    work_ms: float = 30
    events: int = STREAM_EVENTS
    copies: set[str] = field(default_factory=set)
    crash_marks: frozenset[bytes] = frozenset()
    crash_events: int = CRASH_EVENTS
    crashes_before_head_ms: float | None = None
    leaving: bool = False
    extra: tuple[Header, ...] = ()
    request_limit: str = ''
    error_every: int = 0
    error_prefix: bytes = b''
    slowness: float = 1
    queued: int = 0
    limits_on_errors: bool = False
    names_itself: bool = False

    @property
    def headers(self) -> tuple[Header, ...]:
        """Return the header fields that all answers have."""
        stated = list(self.extra)
        if self.leaving:
            stated.append((LEAVING, b'1'))
        if self.request_limit and not self.limits_on_errors:
            stated.append(self.limit_header)
        return tuple(stated)

    @property
    def limit_header(self) -> Header:
        """Return the field that states the limit."""
        return (REQUEST_LIMIT, self.request_limit.encode())

    def plain_status(self, number: int, target: bytes = b'') -> int:
        """Return the status of the plain answer with a number from 1 on."""
        is_error = self.error_every and not number % self.error_every
        is_error = is_error and target.startswith(self.error_prefix)
        return 500 if is_error else self.status


class RunnerStandIn(StandInServer):
    """A model runner or a plain service."""

    def __init__(
        self,
        clock: Clock,
        instance: str,
        address: str,
    ) -> None:
        super().__init__(clock)
        self.instance = instance
        self.address = address
        self.script = RunnerScript()
        self.seen: list[Seen] = []
        self.born = 0
        self.crash_ms: list[float] = []
        self.reports = 0
        self.arrivals: list[tuple[float, bytes]] = []
        self.pauses_asked: list[tuple[float, str]] = []
        self.copied_to: list[str] = []
        self.freed: list[str] = []
        self.cached: set[str] = set()

    async def answer(self, exchange: Exchange) -> None:
        """Answer a call of the platform or a request of a caller."""
        request = exchange.request
        marks = self.script.headers
        self.arrivals.append((self.clock.now_ms(), request.target))
        if request.target == b'/api/report':
            self.reports += 1
        is_control = request.target.startswith(b'/api/')
        if is_control and self.script.report_retry_after:
            self._ask_for_pause(exchange, self.script.report_retry_after, marks)
            return
        if request.target == b'/api/report':
            report = {
                'queue_depth': self.script.queued,
                'in_flight': 0,
                'kv_total': 88_000,
            }
            if self.born:
                report['born'] = self.born
            exchange.respond(200, marks, json.dumps(report).encode())
            return
        if request.target == b'/api/kv-list':
            held = [['', name, 8000, 'm'] for name in self.cached]
            exchange.respond(200, marks, json.dumps({'held': held}).encode())
            return
        if request.method == b'DELETE':
            self.freed.append(request.target.decode())
            exchange.respond(200, marks)
            return
        if request.target == b'/api/kv-move':
            self.copied_to.append(json.loads(request.body)['target'])
            copied = b'{"handle":"h1","create_revision":1}'
            exchange.respond(200, marks, copied)
            return
        seen = Seen(
            dict(request.headers),
            request.method,
            request.target,
            request.body,
            self.clock.now_ms(),
        )
        self.seen.append(seen)
        try:
            await self._serve(exchange, seen)
        finally:
            seen.ended_ms = self.clock.now_ms()

    def break_off(self, exchange: Exchange) -> None:
        """Reset the connection before the answer is complete."""
        exchange.abort()

    def crash(self, exchange: Exchange) -> None:
        """End as a process does that crashes."""
        self.crash_ms.append(self.clock.now_ms())
        self.break_off(exchange)

    def is_crashed_by(self, seen: Seen) -> bool:
        """Return whether a request crashes the runner."""
        parts = seen.headers.get(PROMPT_PARTS, b'')
        return any(
            mark in text
            for mark in self.script.crash_marks
            for text in (seen.target, seen.body, parts)
        )

    def plain_body(self, seen: Seen) -> bytes:
        """Return the body of a plain answer."""
        return self.script.answer

    async def _serve(self, exchange: Exchange, seen: Seen) -> None:
        expected = seen.headers.get(b'bergamotthread-expect-instance')
        echoed = (REQUEST_ID, seen.request_id)
        if expected not in {None, self.instance.encode()}:
            exchange.respond(421, (echoed, *self.script.headers))
            return
        if self.script.retry_after:
            status, headers = self.script.turns_away_with
            self._ask_for_pause(
                exchange,
                self.script.retry_after,
                (echoed, *headers, *self.script.headers),
                status,
            )
            return
        if self.script.not_run or not self.has_copy(seen):
            not_run = (b'bergamotthread-not-executed', b'1')
            exchange.respond(503, (echoed, not_run, *self.script.headers))
            return
        await self.run(exchange, seen)

    def _ask_for_pause(
        self,
        exchange: Exchange,
        seconds: str,
        headers: tuple[Header, ...],
        status: int = 503,
    ) -> None:
        self.pauses_asked.append((self.clock.now_ms(), seconds))
        asked = (b'retry-after', seconds.encode())
        exchange.respond(status, (*headers, asked))

    async def run(self, exchange: Exchange, seen: Seen) -> None:
        """Run a request that was not refused."""
        if b'bergamotthread-token-counts' in seen.headers:
            await self._stream(exchange, seen)
            return
        await self.clock.sleep_ms(self.script.work_ms * self.script.slowness)
        if self.is_crashed_by(seen):
            self.crash(exchange)
            return
        if self.script.breaks_after is not None:
            exchange.abort()
            return
        status = self.script.plain_status(len(self.seen), seen.target)
        headers = self._headers(seen)
        if self.script.limits_on_errors and status == _ERROR:
            headers.append(self.script.limit_header)
        exchange.respond(status, headers, self.plain_body(seen))

    def has_copy(self, seen: Seen) -> bool:
        """Return whether the KV cache copy that a request names is here."""
        source = seen.headers.get(b'kv-from')
        if source is None:
            return True
        return source.decode() in self.script.copies

    async def _stream(self, exchange: Exchange, seen: Seen) -> None:
        start = int(seen.headers.get(b'last-event-id') or b'0')
        start = max(start - self.script.repeats, 0)
        before_head_ms = self.script.crashes_before_head_ms
        if before_head_ms is not None and self.is_crashed_by(seen):
            await self.clock.sleep_ms(before_head_ms)
            self.crash(exchange)
            return
        status = self.script.plain_status(len(self.seen), seen.target)
        if status != _OK and self.script.breaks_after is None:
            exchange.respond(status, self._headers(seen))
            return
        slowness = self.script.slowness
        await self._prefill(exchange, seen)
        for sent, number in enumerate(range(start + 1, self.script.events + 1)):
            if sent == self.script.breaks_after:
                exchange.write(b'id: 9')
                self.break_off(exchange)
                return
            if sent == self.script.crash_events and self.is_crashed_by(seen):
                self.crash(exchange)
                return
            if sent == self.script.stalls_after:
                await self._keep_alive(exchange, 60_000)
            if self.script.padding:
                exchange.write(b'data: %b' % (b'x' * self.script.padding))
            if self.script.comment:
                exchange.write(b': %b\n' % (b'x' * self.script.comment))
            instance = self.instance if self.script.names_itself else ''
            event = event_of(seen.request_id, number, instance.encode())
            exchange.write(event)
            await self.clock.sleep_ms(self.script.event_ms * slowness)
        if self.script.ends_in_event:
            exchange.write(b'id: 99\ndata')
        exchange.finish()

    async def _prefill(self, exchange: Exchange, seen: Seen) -> None:
        """Read the prompt, and send the head of the answer."""
        prefill_ms = self.script.prefill_ms * self.script.slowness
        if b'kv-from' in seen.headers:
            prefill_ms = 0
        is_early = bool(self.script.keeps_alive_with)
        if not is_early:
            await self.clock.sleep_ms(prefill_ms)
        event_stream = (b'content-type', b'text/event-stream')
        exchange.start(200, [*self._headers(seen), event_stream])
        if is_early:
            await self._keep_alive(exchange, prefill_ms)

    async def _keep_alive(self, exchange: Exchange, duration_ms: float) -> None:
        """Send bytes that are no event from time to time."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            if self.script.keeps_alive_with:
                exchange.write(self.script.keeps_alive_with)
            left_ms = end_ms - self.clock.now_ms()
            await self.clock.sleep_ms(min(left_ms, self.script.keep_alive_ms))

    def _headers(self, seen: Seen) -> list[tuple[bytes, bytes]]:
        return [
            (REQUEST_ID, seen.request_id),
            (SEAL, self.instance.encode()),
            *self.script.headers,
        ]


JsonObject = dict[str, object]


def manifest(
    version: int = 1,
    keys: tuple[str, ...] = (KEY,),
    routes: tuple[JsonObject, ...] = (),
    **more: object,
) -> JsonObject:
    """Return a manifest with a route of each kind and with `routes`."""
    default_routes = [
        route_of('/stream/', 'streaming', MODEL, stream_resume=True),
        route_of('/once-stream/', 'streaming', MODEL),
        route_of('/once/', 'non_idempotent', PLAIN, timeout_ms=1500),
        route_of('/any/', 'idempotent', PLAIN, timeout_ms=1500),
        route_of('/open/', 'idempotent', PLAIN, auth_exempt=True),
    ]
    engine = {'slots': 64, 'kv_capacity_tokens': 88_000, 'backups': True}
    return {
        'version': version,
        'routes': [*default_routes, *routes],
        'services': [{'name': MODEL, 'engine': engine}, {'name': PLAIN}],
        'tenants': [{'name': 'team-one', 'api_keys': list(keys)}],
        **more,
    }


def route_of(
    prefix: str, kind: str, service: str, **more: object
) -> JsonObject:
    """Return a route in the form of a manifest."""
    return {
        'name': prefix,
        'host': 'h.example',
        'path_prefix': prefix,
        'route_type': kind,
        'service': service,
        'timeout_ms': 25_000,
        'target_latency_ms': 4500 if kind == 'streaming' else 350,
        'max_attempts': 5,
        **more,
    }


def runner_row(
    address: str, service: str, zone: str, **more: object
) -> JsonObject:
    """Return the row of a runner."""
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'state': 'ready',
        'slots': 64,
        'seq': 1,
        **more,
    }
