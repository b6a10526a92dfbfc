"""Runs a runner stand-in as a process.

Usage: ``python -m soak.runner_process ADDRESS INSTANCE [WORK_MS]``, where
``WORK_MS`` is the run time of a plain request. The process writes a line when a
run starts and another when it ends, so that a soak also knows of runs during
which the process was killed. It also writes a line for each request whose
answer says that the runner leaves or states a limit, and for each that it
refuses for some time.
"""

from __future__ import annotations

import asyncio
import os
import sys
from zlib import crc32

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import Exchange
from soak.orders import RunnerOrder, orders_of
from standins.platform_runner import (
    REQUEST_ID,
    RunnerScript,
    RunnerStandIn,
    Seen,
)

STARTED = 'started'
ENDED = 'ended'
LEAVING = 'leaving'
PAUSED = 'paused'
LIMITED = 'limited'
CRASHED = 'crashed'
# Requests whose paths contain this crash the runner.
DEADLY = b'deadly'
# Time between the line that reports a crash and the end of the process, in
# which the soak lets its link refuse connections.
CRASH_DELAY_S = 0.05


class ReportingRunner(RunnerStandIn):
    """A runner that reports its runs and answers with the request's name."""

    def plain_body(self, seen: Seen) -> bytes:
        """Return the request's identifier."""
        return seen.request_id

    async def run(self, exchange: Exchange, seen: Seen) -> None:
        """Run a request and report its start and its end."""
        self._tell(STARTED, seen)
        try:
            await super().run(exchange, seen)
        finally:
            self._tell(ENDED, seen)

    def crash(self, exchange: Exchange) -> None:
        """Report the crash, then end the process."""
        request_id = dict(exchange.request.headers).get(REQUEST_ID, b'')
        sys.stdout.write(
            f'{CRASHED} {request_id.decode()} {self.clock.now_ms():.1f}\n'
        )
        sys.stdout.flush()
        asyncio.get_running_loop().call_later(CRASH_DELAY_S, os._exit, 1)

    def has_copy(self, seen: Seen) -> bool:
        """Return whether the KV cache copy that a request names is here.

        Half of the requests, by the hash of their names, have a copy.
        """
        source = seen.headers.get(b'kv-from')
        if source is None:
            return True
        name = source.rpartition(b'/')[2]
        return name == seen.request_id and crc32(name) % 2 == 0

    async def _serve(self, exchange: Exchange, seen: Seen) -> None:
        if self.script.leaving:
            self._tell(LEAVING, seen)
        if self.script.request_limit:
            self._tell(LIMITED, seen, self.script.request_limit)
        expected = seen.headers.get(b'bergamotthread-expect-instance')
        if self.script.retry_after and expected in {
            None,
            self.instance.encode(),
        }:
            self._tell(PAUSED, seen, self.script.retry_after)
        await super()._serve(exchange, seen)

    def _tell(self, event: str, seen: Seen, *more: str) -> None:
        now_ms = self.clock.now_ms()
        name = seen.request_id.decode()
        line = ' '.join((event, name, f'{now_ms:.1f}', *more))
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()


async def _serve(
    address: str,
    instance: str,
    work_ms: float = RunnerScript.work_ms,
) -> None:
    runner = ReportingRunner(Clock.from_system(), instance, address)
    runner.script.work_ms = work_ms
    runner.script.names_itself = True
    runner.script.crash_marks = frozenset((DEADLY,))
    await runner.listen(address)
    async for order in orders_of(RunnerOrder):
        runner.script.not_run = order.not_run
        runner.script.stalls_after = order.stalls_after
        runner.script.comment = order.comment
        runner.script.leaving = order.leaving
        runner.script.retry_after = order.retry_after
        runner.script.request_limit = order.request_limit
        runner.script.error_every = order.error_every
        # Requests seen were reported already; clearing them bounds the memory
        # of a long soak.
        runner.seen.clear()


if __name__ == '__main__':
    place, name, *work = sys.argv[1:]
    asyncio.run(_serve(place, name, *map(float, work)))
