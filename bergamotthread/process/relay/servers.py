"""Servers of an entry for callers, health checks and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.connection.held_bytes import HeldBytes
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    CallerServer,
    Exchange,
)
from bergamotthread.process.overload.retry_after import RetryAfterRange
from bergamotthread.process.relay.life_cycle import (
    REQUEST_UNDER_WAY_MS,
    LifeCycle,
)
from bergamotthread.process.relay.own_load import OwnLoad
from bergamotthread.process.relay.version_holder import RouteTableHolder
from bergamotthread.request.relay.admission import Admission
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.plain_relay import PlainRelay
from bergamotthread.request.relay.refusals import (
    DRAIN_RETRY_AFTER_MS,
    RelayRefusal,
    send_refusal,
)
from bergamotthread.request.relay.stream_relay import StreamRelay

LISTEN_BACKLOG = 1024
# Target times of a plain request that must be left before the process ends, as
# long as the balancer sends connections.
DRAIN_TARGETS_LEFT = 4
# Least Retry-After of an entry whose machine is used up; callers come back to
# another one.
CHOKED_RETRY_AFTER_MS = 300
# Wait for the first version; a new process loads it within half a second.
FIRST_VERSION_TIMEOUT_MS = 600


@dataclass
class RelayServer:
    """Serves callers by relaying their requests to upstreams."""

    clock: Clock
    table_holder: RouteTableHolder
    admission: Admission
    parts: RelayParts
    life_cycle: LifeCycle
    held: HeldBytes
    load: OwnLoad
    connections: set[CallerConnection] = field(default_factory=set)
    in_flight: int = 0
    answered: int = 0
    is_ending: bool = False

    @property
    def limits(self) -> CallerLimits:
        """Return the limits of the current version."""
        table = self.table_holder.table
        return CallerLimits() if table is None else table.limits

    @property
    def is_draining(self) -> bool:
        """Return whether keep-alive connections must be closed."""
        return self.life_cycle.is_draining

    async def answer(self, exchange: Exchange) -> None:
        """Respond to one request of a caller."""
        if self.table_holder.table is None:
            await self.table_holder.wait_for_table(
                self.clock, FIRST_VERSION_TIMEOUT_MS
            )
        admitted = self.admission.admit(exchange, self.table_holder.table)
        if isinstance(admitted, RelayRefusal):
            self._refuse(exchange, admitted)
            return
        if self._is_too_late(admitted):
            self._refuse(exchange, _draining_refusal())
            return
        if not self._may_take(admitted):
            self._refuse(exchange, self._choked_refusal(admitted))
            return
        relay = _make_relay(admitted, self.parts)
        self.in_flight += 1
        try:
            await relay.run()
        except asyncio.CancelledError:
            if self.is_ending:
                relay.end()
            raise
        finally:
            self.in_flight -= 1
            self.answered += 1

    def end_requests(self) -> None:
        """Give each request in flight its final answer, before the exit.

        A stream that has begun is cut, so that it can't look complete.
        """
        self.is_ending = True
        for connection in tuple(self.connections):
            connection.cancel_request()

    def close_idle(self) -> None:
        """Close connections on which no request is to be expected."""
        for connection in tuple(self.connections):
            connection.close_idle(REQUEST_UNDER_WAY_MS)

    def _is_too_late(self, call: RelayedCall) -> bool:
        """Return whether the process is likely to end before the answer.

        Once the balancer has stopped sending connections, the caller's next
        attempt is at another entry, so only what is sure to end is taken.
        """
        if self.is_ending:
            return True
        if call.route.is_stream:
            return self.life_cycle.refuses_streams
        needed_ms = call.time_limit_ms
        if not self.life_cycle.is_out_of_rotation:
            target_ms = call.route.first_event_target_ms * DRAIN_TARGETS_LEFT
            needed_ms = min(target_ms, needed_ms)
        return self.life_cycle.remaining_ms < needed_ms

    def _may_take(self, call: RelayedCall) -> bool:
        """Return whether the machine has room for a request.

        A stream that its caller takes up was accepted before.
        """
        if call.resume_after is not None:
            return True
        return self.held.has_room and self.load.admits(call.rank)

    def _choked_refusal(self, call: RelayedCall) -> RelayRefusal:
        """Return a refusal; the caller's next attempt is at another entry."""
        remaining_ms = call.deadline_ms - self.clock.now_ms()
        bounds = RetryAfterRange.from_remaining(
            CHOKED_RETRY_AFTER_MS, remaining_ms
        )
        return RelayRefusal(
            503,
            'entry-choked',
            f'{self.load.description}; {self.held.total_bytes} bytes held, '
            f'at most {self.held.limit_bytes:.0f}',
            bounds.spread(0, 2 * CHOKED_RETRY_AFTER_MS, self.admission.rng),
        )

    def _refuse(self, exchange: Exchange, refusal: RelayRefusal) -> None:
        request_id = exchange.request.header(
            self.admission.header_names.request_id,
        )
        self.parts.metrics.refusals.increment(refusal.reason)
        self.parts.log.write(
            'not-admitted',
            request=(request_id or b'').decode('latin-1'),
            status=refusal.status,
            reason=refusal.reason,
            detail=refusal.detail,
            version_age_ms=self.admission.freshness.age_ms,
        )
        send_refusal(exchange, refusal)


StatusSource = Callable[[], tuple[int, str]]


@dataclass
class StatusServer:
    """Serves a status code and a text at each of a few paths.

    Parameters
    ----------
    source_by_path
        Functions that return the status code and the text of a path.
    """

    clock: Clock
    source_by_path: dict[bytes, StatusSource]
    connections: set[CallerConnection] = field(default_factory=set)
    limits: CallerLimits = CallerLimits()
    is_draining: bool = False

    async def answer(self, exchange: Exchange) -> None:
        """Respond to one request."""
        path = exchange.request.target.partition(b'?')[0]
        get_status = self.source_by_path.get(path)
        if get_status is None:
            exchange.respond(404, ())
            return
        status, text = get_status()
        exchange.respond(status, (), text.encode())


async def listen(
    server: CallerServer,
    address: str,
    held: HeldBytes | None = None,
) -> asyncio.Server:
    """Accept connections at an address ``HOST:PORT`` for a server.

    Parameters
    ----------
    held
        Bound on what is held for all callers; none if not given.
    """
    host, _, port = address.rpartition(':')
    return await asyncio.get_running_loop().create_server(
        lambda: CallerConnection(server, held),
        host,
        int(port),
        backlog=LISTEN_BACKLOG,
    )


def _make_relay(
    call: RelayedCall, parts: RelayParts
) -> PlainRelay | StreamRelay:
    if call.route.is_stream:
        return StreamRelay(call, parts)
    return PlainRelay(call, parts)


def _draining_refusal() -> RelayRefusal:
    return RelayRefusal(
        503,
        'draining',
        'this entry is about to stop',
        DRAIN_RETRY_AFTER_MS,
    )
