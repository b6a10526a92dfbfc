"""Plain service in memory that counts the runs of each key, with faults."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.connection.service_client import (
    ServiceAnswer,
    ServiceClient,
    ServiceLostError,
    ServiceRequest,
    ServiceUnreachableError,
)
from bergamotthread.errors import Step
from bergamotthread.wire.messages import (
    FENCING_TOKEN_HEADER,
    IDEMPOTENCY_KEY_HEADER,
)

_OK = 200
_CONFLICT = 409


@dataclass
class MemoryService(ServiceClient):
    """Service that outlives its agents, with public counts and faults.

    Parameters
    ----------
    clock
        Source of time.
    checks_fencing
        Whether a fencing token older than the last one of its key is refused.
    delay_ms
        Time between a run and its answer.
    dropped_answers
        Number of further calls that run but are not answered.
    is_down
        Whether connections fail.
    answer_bytes
        Minimum size of an answer's body.
    """

    clock: Clock
    checks_fencing: bool = False
    delay_ms: float = 0
    dropped_answers: int = 0
    is_down: bool = False
    answer_bytes: int = 0
    runs_by_key: dict[str, int] = field(default_factory=dict)
    fence_by_key: dict[str, int] = field(default_factory=dict)

    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Count a run of the key and answer after the delay.

        Raises
        ------
        ServiceUnreachableError
            If the service is down.
        ServiceLostError
            If the answer is dropped.
        """
        if self.is_down:
            raise ServiceUnreachableError('service is down', step=Step.DISPATCH)
        headers = dict(request.headers)
        key = headers.get(IDEMPOTENCY_KEY_HEADER, '')
        fence = int(headers.get(FENCING_TOKEN_HEADER, '0'))
        if self.checks_fencing and fence < self.fence_by_key.get(key, 0):
            return ServiceAnswer(_CONFLICT, (), b'old fencing token')
        self.fence_by_key[key] = fence
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        return await self._answer(key)

    async def close(self) -> None:
        """Keep the counts, since the service outlives its agents."""

    async def _answer(self, key: str) -> ServiceAnswer:
        await self.clock.sleep_ms(self.delay_ms)
        if self.dropped_answers > 0:
            self.dropped_answers -= 1
            raise ServiceLostError('answer dropped', step=Step.DISPATCH)
        text = f'{key} ran {self.runs_by_key[key]}'.encode()
        return ServiceAnswer(_OK, (), text.ljust(self.answer_bytes, b'.'))
