"""The HTTP side of an entry."""

from __future__ import annotations

import uuid
from typing import Protocol

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from bergamotthread.clock import Clock
from bergamotthread.connection.event_stream import (
    EventStreamResponse,
    first_completed,
    until_disconnected,
)
from bergamotthread.errors import Step
from bergamotthread.process.completions import Caller, Completions
from bergamotthread.process.generations import Generations
from bergamotthread.request.authentication import authenticate_team
from bergamotthread.request.completion import decode_completion
from bergamotthread.request.completion_stream import CompletionStream
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
    problem_json,
)
from bergamotthread.version.published import PublishedVersion

_CLIENT_CLOSED_STATUS = 499


class VersionSource(Protocol):
    """Where the published version in force comes from."""

    @property
    def current(self) -> PublishedVersion | None:
        """Return the version in force, or None before the first."""

    def may_admit(self) -> Refusal | None:
        """Return why no request may be admitted now, or None."""


class EntryApp:
    """Serves callers.

    Every refusal is problem JSON with the request id that explains it.
    """

    def __init__(
        self,
        generations: Generations,
        completions: Completions,
        versions: VersionSource,
        clock: Clock,
    ) -> None:
        self.draining = False
        self.open_requests = 0
        self._generations = generations
        self._completions = completions
        self._versions = versions
        self._clock = clock

    def starlette(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route('/v1/completions', self.complete, methods=['POST']),
                Route('/healthz', self.healthy),
                Route('/readyz', self.ready),
            ],
            exception_handlers={RefusedError: self._refuse},
        )

    def stamp(self, refusal: Refusal) -> Refusal:
        """Return a refusal with the request id that explains it."""
        if refusal.request_id:
            return refusal
        identity = f'req-{uuid.uuid4().hex}'
        return msgspec.structs.replace(refusal, request_id=identity)

    async def healthy(self, _: Request) -> Response:
        """Answer `GET /healthz`: the process lives."""
        return Response('ok')

    async def ready(self, _: Request) -> Response:
        """Answer `GET /readyz`: whether the balancer may send requests."""
        if self.draining:
            return Response('draining', status_code=503)
        refusal = self._versions.may_admit()
        if refusal is None:
            return Response('ok')
        return Response(refusal.detail, status_code=503)

    async def complete(self, request: Request) -> Response:
        """Answer `POST /v1/completions`."""
        published = self._published()
        authorization = request.headers.get('authorization', '')
        team = authenticate_team(authorization, published)
        completion = decode_completion(await request.body())
        caller = Caller(
            team=team.name,
            idempotency_key=request.headers.get('idempotency-key', ''),
            last_event_id=request.headers.get('last-event-id', ''),
        )
        live, stream = self._completions.open(completion, caller, published)
        live.readers += 1
        self.open_requests += 1
        if completion.stream:
            return self._event_stream(live, stream)
        return await self._whole(request, live, stream)

    def _published(self) -> PublishedVersion:
        if self.draining:
            raise _refused(
                ReasonCode.DRAINING,
                'this entry is draining, try again for another one',
            )
        refusal = self._versions.may_admit()
        if refusal is not None:
            raise RefusedError(refusal)
        published = self._versions.current
        if published is None:
            raise _refused(
                ReasonCode.NO_CONFIGURATION,
                'no published version is in force here yet',
            )
        self._generations.put_in_force(published)
        return published

    def _event_stream(
        self,
        live: LiveGeneration,
        stream: CompletionStream,
    ) -> Response:
        return EventStreamResponse(
            stream.events(),
            on_close=lambda: self._leave(live),
            headers={'x-request-id': live.generation.spec.generation},
        )

    async def _whole(
        self,
        request: Request,
        live: LiveGeneration,
        stream: CompletionStream,
    ) -> Response:
        answers: list[bytes] = []
        try:
            await first_completed(
                _collect(stream, answers),
                until_disconnected(request.receive),
            )
        finally:
            self._leave(live)
        if answers:
            return Response(
                answers[0],
                media_type='application/json',
                headers={'x-request-id': live.generation.spec.generation},
            )
        if not live.readers:
            self._generations.cancel(live)
        return Response(status_code=_CLIENT_CLOSED_STATUS)

    def _leave(self, live: LiveGeneration) -> None:
        live.readers -= 1
        self.open_requests -= 1
        live.abandoned_ms = self._clock.now_ms()

    async def _refuse(self, request: Request, error: Exception) -> Response:
        assert isinstance(error, RefusedError)
        return problem_response(self.stamp(error.refusal))


async def _collect(stream: CompletionStream, answers: list[bytes]) -> None:
    answers.append(await stream.whole())


def problem_response(refusal: Refusal) -> Response:
    """Return the answer that tells a refusal."""
    headers = {'x-request-id': refusal.request_id}
    if refusal.retry_after_ms:
        headers['retry-after'] = str(-(-refusal.retry_after_ms // 1000))
    return Response(
        problem_json(refusal),
        status_code=refusal.status,
        media_type='application/problem+json',
        headers=headers,
    )


def _refused(reason: ReasonCode, detail: str) -> RefusedError:
    return RefusedError(
        Refusal(reason=reason, detail=detail, step=Step.ADMIT, ran=Ran.NOT_RUN),
    )
