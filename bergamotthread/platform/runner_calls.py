"""Calls to runners beside requests: load reports and copies of memory."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.http.fetch import Asked, fetch
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.runner_rows import decode_report
from bergamotthread.process.relay.liveness import PROBE_TIMEOUT_MS
from bergamotthread.process.relay.upstreams import LoadReport, Upstream
from bergamotthread.request.relay.engine_memory import EngineMemory

# A copy of a long prompt takes 80 ms between failure domains, and waits for
# other copies on both links.
COPY_TIMEOUT_MS = 1500
_OK = 200


class _Kept(msgspec.Struct, frozen=True):
    held: tuple[tuple[str, str, int, str], ...] = ()


class _Copied(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name='handle')


@dataclass(frozen=True)
class RunnerCalls(EngineMemory):
    """Asks runners over kept connections."""

    pool: UpstreamPool
    clock: Clock

    async def report(self, upstream: Upstream) -> LoadReport | None:
        """Return the load that an upstream reports now, or none."""
        try:
            fetched = await fetch(
                self.pool,
                upstream.address,
                Asked(b'GET', b'/api/report'),
                PROBE_TIMEOUT_MS,
            )
        except ConnectionError as error:
            logging.debug('probe of %s: %s', upstream.record.instance, error)
            return None
        return decode_report(fetched.body, self.clock.now_ms())

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
    ) -> str:
        """Copy a run's memory; return what names the copy, or nothing."""
        asked = {'id': request_id, 'target': target.address, 'last': False}
        try:
            fetched = await fetch(
                self.pool,
                source.address,
                Asked(b'POST', b'/api/kv-move', msgspec.json.encode(asked)),
                COPY_TIMEOUT_MS,
            )
            if fetched.status != _OK:
                logging.debug('copy refused with %d', fetched.status)
                return ''
            copied = msgspec.json.decode(fetched.body, type=_Copied)
        except (ConnectionError, msgspec.MsgspecError) as error:
            logging.debug('copy at %s: %s', source.address, error)
            return ''
        return f'{source.address}/{copied.name}'

    async def drop(self, source: Upstream, name: str) -> None:
        """Free a copy that `copy` named, at both ends."""
        target = f'/api/kv-handle/{name.rpartition("/")[2]}'.encode()
        try:
            await fetch(
                self.pool,
                source.address,
                Asked(b'DELETE', target),
                COPY_TIMEOUT_MS,
            )
        except ConnectionError as error:
            # Its holder drops it some time after its last part.
            logging.debug('copy %s not freed: %s', name, error)

    async def cached_tokens(self, upstream: Upstream, part: bytes) -> int:
        """Return the tokens cached of one part of a prompt; 0 if none."""
        try:
            fetched = await fetch(
                self.pool,
                upstream.address,
                Asked(b'GET', b'/api/kv-list'),
                PROBE_TIMEOUT_MS,
            )
            kept = msgspec.json.decode(fetched.body, type=_Kept)
        except (ConnectionError, msgspec.MsgspecError) as error:
            logging.debug('cache of %s: %s', upstream.record.instance, error)
            return 0
        wanted = part.decode('latin-1').lower()
        return sum(
            tokens for _, name, tokens, _ in kept.held if name.lower() == wanted
        )
