"""Control calls to runners: load reports, KV cache copies, cached prompts."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.http.fetch import (
    FetchRequest,
    FetchResponse,
    fetch,
)
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.runner_rows import decode_report
from bergamotthread.process.relay.liveness import (
    PROBE_ANSWER_MAX_MS,
    UPSTREAM_PROBE_TIMEOUT_MS,
)
from bergamotthread.process.relay.pause_recorder import PauseRecorder
from bergamotthread.process.relay.upstreams import LoadReport, Upstream
from bergamotthread.request.relay.engine_memory import EngineKvCache
from bergamotthread.request.relay.leaving_notices import LeavingNotices
from bergamotthread.request.relay.limit_notices import LimitNotices

# Copying the KV cache of a long prompt between failure domains takes 80 ms,
# and the copy waits for other copies on both links.
COPY_TIMEOUT_MS = 1500
_OK = 200


class _Kept(msgspec.Struct, frozen=True):
    held: tuple[tuple[str, str, int, str], ...] = ()


class _Copied(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name='handle')


@dataclass(frozen=True)
class RunnerClient(EngineKvCache):
    """Calls runners over pooled connections.

    A runner that asked for a pause gets only the load reports that
    `LivenessWatch` still allows.
    """

    pool: UpstreamPool
    clock: Clock
    leaving: LeavingNotices
    limits: LimitNotices
    pauses: PauseRecorder

    async def report(self, upstream: Upstream) -> LoadReport | None:
        """Return an upstream's current load, or None if it can't be read.

        A runner that answers with a request for a pause is alive.
        """
        sent_ms = self.clock.now_ms()
        try:
            fetched = await fetch(
                self.pool,
                upstream.address,
                FetchRequest(b'GET', b'/api/report'),
                PROBE_ANSWER_MAX_MS,
            )
        except ConnectionError as error:
            logging.debug(
                'load report of %s not read: %s',
                upstream.record.instance,
                error,
            )
            return None
        self._read_notices(upstream, fetched, 'report', sent_ms)
        if self._record_pause(upstream, fetched):
            self.pauses.directory.record_heard(upstream)
            return None
        return decode_report(fetched.body, self.clock.now_ms())

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
    ) -> str:
        """Copy the KV cache of a run while the run goes on.

        Returns
        -------
        str
            Address of the source, a slash and the handle of the copy; empty if
            no copy was made.
        """
        copy_request = {
            'id': request_id,
            'target': target.address,
            'last': False,
        }
        try:
            fetched = await self._call(
                source,
                'copy',
                FetchRequest(
                    b'POST', b'/api/kv-move', msgspec.json.encode(copy_request)
                ),
                COPY_TIMEOUT_MS,
            )
            if fetched.status != _OK:
                logging.debug(
                    'KV cache copy answered with status %d, expected 200',
                    fetched.status,
                )
                return ''
            copied = msgspec.json.decode(fetched.body, type=_Copied)
        except (ConnectionError, msgspec.MsgspecError) as error:
            logging.debug(
                'KV cache copy from %s not confirmed: %s',
                source.address,
                error,
            )
            return ''
        return f'{source.address}/{copied.name}'

    async def drop(self, source: Upstream, copy_id: str) -> None:
        """Free a copy made by `copy`, at the source and at the target.

        Parameters
        ----------
        copy_id
            Return value of `copy`.
        """
        target = f'/api/kv-handle/{copy_id.rpartition("/")[2]}'.encode()
        try:
            await self._call(
                source,
                'copy-release',
                FetchRequest(b'DELETE', target),
                COPY_TIMEOUT_MS,
            )
        except ConnectionError as error:
            # The target frees the copy itself, some time after its last part
            # arrived.
            logging.debug(
                'release of KV cache copy %s not confirmed: %s', copy_id, error
            )

    async def cached_tokens(self, upstream: Upstream, part: bytes) -> int:
        """Return the number of cached tokens of a prompt part.

        The number is 0 if there are none or if they can't be read.
        """
        try:
            fetched = await self._call(
                upstream,
                'cached-prompts',
                FetchRequest(b'GET', b'/api/kv-list'),
                UPSTREAM_PROBE_TIMEOUT_MS,
            )
            cached = msgspec.json.decode(fetched.body, type=_Kept)
        except (ConnectionError, msgspec.MsgspecError) as error:
            logging.debug(
                'cached prompts of %s not read: %s',
                upstream.record.instance,
                error,
            )
            return 0
        part_name = part.decode('latin-1').lower()
        return sum(
            tokens
            for _, name, tokens, _ in cached.held
            if name.lower() == part_name
        )

    async def _call(
        self,
        upstream: Upstream,
        kind: str,
        request: FetchRequest,
        timeout_ms: float,
    ) -> FetchResponse:
        """Call a runner that is not paused.

        Raises
        ------
        ConnectionError
            If it is paused, or as `fetch` does.
        """
        directory = self.pauses.directory
        if directory.is_paused(upstream):
            raise ConnectionError(f'{upstream.address} asked for a pause')
        sent_ms = self.clock.now_ms()
        fetched = await fetch(
            self.pool,
            upstream.address,
            request,
            timeout_ms,
            lambda: not directory.is_paused(upstream),
        )
        self._read_notices(upstream, fetched, kind, sent_ms)
        self._record_pause(upstream, fetched)
        return fetched

    def _read_notices(
        self,
        upstream: Upstream,
        fetched: FetchResponse,
        kind: str,
        sent_ms: float,
    ) -> None:
        self.leaving.read(upstream, fetched.headers, kind, fetched.status)
        self.limits.read(upstream, fetched.headers, kind, sent_ms)

    def _record_pause(
        self, upstream: Upstream, fetched: FetchResponse
    ) -> float:
        return self.pauses.record_answer(
            upstream, fetched.status, fetched.headers
        )
