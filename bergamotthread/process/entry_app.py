"""HTTP application of an entry."""

from __future__ import annotations

from collections.abc import Callable
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
    wait_for_disconnect,
)
from bergamotthread.errors import Step
from bergamotthread.process.calls.service_calls import (
    ServiceRequestParts,
    build_call_request,
)
from bergamotthread.process.entry_metrics import EntryMetrics
from bergamotthread.process.explanations.explanation_routes import (
    explanation_routes,
)
from bergamotthread.process.explanations.explanations import Explanations
from bergamotthread.process.explanations.refusal_recorder import RefusalRecorder
from bergamotthread.process.generations.completions import Caller, Completions
from bergamotthread.process.generations.generations import Generations
from bergamotthread.process.membership.health import Readiness, health_routes
from bergamotthread.request.authentication import authenticate_team
from bergamotthread.request.call_request import CallAnswer, CallRequest
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
_MS_PER_S = 1000
_SERVICE_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']
_REQUEST_ID_HEADER = 'x-request-id'
_DRAINING_RETRY_MS = 100
_FIRST_SEND_HEADER = 'idempotency-first-send'


class VersionSource(Protocol):
    """Source of the published version in force."""

    def admit(self) -> PublishedVersion:
        """Return the version that applies to a new request.

        Raises
        ------
        RefusedError
            If no request may be admitted now.
        """

    def admission_refusal(self) -> Refusal | None:
        """Return why no request may be admitted now, or None."""


class CallSource(Protocol):
    """Runs calls of plain services."""

    async def run(self, request: CallRequest) -> CallAnswer:
        """Return the answer of a call.

        Raises
        ------
        RefusedError
            If the call is refused or its outcome is unknown.
        """


class TeamGate(Protocol):
    """Limits of teams, shared by all entries."""

    def try_admit(self, team: str, cost: float = 1) -> Refusal | None:
        """Count a request of a team; return a refusal if over its limit."""

    def release(self, team: str) -> None:
        """Record the end of a request that was admitted."""


class EntryParts(msgspec.Struct, frozen=True):
    """Parts of the entry that the HTTP application uses."""

    generations: Generations
    completions: Completions
    versions: VersionSource
    calls: CallSource
    teams: TeamGate
    explanations: Explanations
    metrics: EntryMetrics
    put_in_force: Callable[[PublishedVersion], None]
    region: str = ''


class EntryApp:
    """HTTP application that serves callers.

    Every refusal is problem JSON. Its request id is the key of the stored
    explanation.
    """

    def __init__(
        self,
        parts: EntryParts,
        recorder: RefusalRecorder,
        clock: Clock,
    ) -> None:
        self.draining = False
        self.open_requests = 0
        self._parts = parts
        self._recorder = recorder
        self._clock = clock

    def starlette(self) -> Starlette:
        """Return the Starlette application."""
        return Starlette(
            routes=[
                Route('/v1/completions', self.complete, methods=['POST']),
                Route(
                    '/v1/services/{service}/{path:path}',
                    self.call,
                    methods=_SERVICE_METHODS,
                ),
                *explanation_routes(self._parts.explanations, self._version),
                *health_routes(self._parts.metrics.registry, self.readiness),
            ],
            exception_handlers={RefusedError: self._handle_refused_error},
        )

    def readiness(self) -> Readiness:
        """Return whether the load balancer may send requests, or why not."""
        if self.draining:
            return Readiness(('draining',))
        refusal = self._parts.versions.admission_refusal()
        return Readiness(() if refusal is None else (refusal.detail,))

    async def complete(self, request: Request) -> Response:
        """Answer `POST /v1/completions`."""
        body = await request.body()
        published = self._version_for_request()
        team = self._admit_team(request, published)
        try:
            live, stream, streams = self._open_completion(
                request, body, team, published
            )
        except RefusedError:
            self._parts.teams.release(team)
            raise
        live.readers += 1
        self.open_requests += 1
        if streams:
            return self._event_stream(live, stream, team)
        return await self._json_answer(request, live, stream, team)

    async def call(self, request: Request) -> Response:
        """Answer `/v1/services/{service}/{path}`."""
        body = await request.body()
        published = self._version_for_request()
        team = self._admit_team(request, published)
        self.open_requests += 1
        try:
            answer = await self._call(request, body, team, published)
        finally:
            self.open_requests -= 1
            self._parts.teams.release(team)
        response = Response(answer.body, status_code=answer.status)
        response.headers.update(dict(answer.headers))
        response.headers['idempotency-key-lifetime-ms'] = str(
            answer.key_lifetime_ms,
        )
        response.headers['idempotency-replayed'] = str(answer.replayed).lower()
        return response

    async def _call(
        self,
        request: Request,
        body: bytes,
        team: str,
        published: PublishedVersion,
    ) -> CallAnswer:
        path = request.path_params['path']
        parts = ServiceRequestParts(
            team=team,
            service=request.path_params['service'],
            method=request.method,
            path=f'/{path}',
            query=request.url.query,
            headers=tuple(request.headers.items()),
            body=body,
            key=request.headers.get('idempotency-key', ''),
            first_send=request.headers.get(_FIRST_SEND_HEADER) == 'true',
        )
        started_ms = self._clock.now_ms()
        answer = await self._parts.calls.run(
            build_call_request(parts, published, self._parts.region),
        )
        self._parts.metrics.record_call(self._clock.now_ms() - started_ms)
        return answer

    def _open_completion(
        self,
        request: Request,
        body: bytes,
        team: str,
        published: PublishedVersion,
    ) -> tuple[LiveGeneration, CompletionStream, bool]:
        completion = decode_completion(body)
        caller = Caller(
            team=team,
            idempotency_key=request.headers.get('idempotency-key', ''),
            last_event_id=request.headers.get('last-event-id', ''),
        )
        live, stream = self._parts.completions.open(
            completion,
            caller,
            published,
        )
        return live, stream, completion.stream

    def _version(self) -> PublishedVersion:
        return self._parts.versions.admit()

    def _version_for_request(self) -> PublishedVersion:
        if self.draining:
            raise RefusedError(_draining_refusal())
        published = self._version()
        self._parts.put_in_force(published)
        return published

    def _admit_team(
        self,
        request: Request,
        published: PublishedVersion,
    ) -> str:
        authorization = request.headers.get('authorization', '')
        team = authenticate_team(authorization, published).name
        request.state.team = team
        request.state.config_version = published.version
        refusal = self._parts.teams.try_admit(team)
        if refusal is not None:
            raise RefusedError(refusal)
        self._parts.metrics.count_request()
        return team

    def _event_stream(
        self,
        live: LiveGeneration,
        stream: CompletionStream,
        team: str,
    ) -> Response:
        return EventStreamResponse(
            stream.events(),
            on_close=lambda: self._release_reader(live, team),
            headers={_REQUEST_ID_HEADER: live.generation.spec.generation},
        )

    async def _json_answer(
        self,
        request: Request,
        live: LiveGeneration,
        stream: CompletionStream,
        team: str,
    ) -> Response:
        answers: list[bytes] = []
        try:
            await first_completed(
                _collect(stream, answers),
                wait_for_disconnect(request.receive),
            )
        finally:
            self._release_reader(live, team)
        if answers:
            return Response(
                answers[0],
                media_type='application/json',
                headers={_REQUEST_ID_HEADER: live.generation.spec.generation},
            )
        if not live.readers:
            self._parts.generations.cancel(live)
        return Response(status_code=_CLIENT_CLOSED_STATUS)

    def _release_reader(self, live: LiveGeneration, team: str) -> None:
        live.readers -= 1
        self.open_requests -= 1
        live.abandoned_ms = self._clock.now_ms()
        self._parts.teams.release(team)

    async def _handle_refused_error(
        self, request: Request, error: Exception
    ) -> Response:
        if not isinstance(error, RefusedError):
            raise error
        refusal = _add_request_context(error.refusal, request)
        return problem_response(self._recorder.record_refusal(refusal))


async def _collect(stream: CompletionStream, answers: list[bytes]) -> None:
    answers.append(await stream.complete_answer())


def _add_request_context(refusal: Refusal, request: Request) -> Refusal:
    """Return a refusal with team and version filled in from its request."""
    team = getattr(request.state, 'team', '')
    version = getattr(request.state, 'config_version', 0)
    return msgspec.structs.replace(
        refusal,
        team=refusal.team or team,
        config_version=refusal.config_version or version,
    )


def problem_response(refusal: Refusal) -> Response:
    """Return the problem JSON response of a refusal."""
    headers = {_REQUEST_ID_HEADER: refusal.request_id}
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // _MS_PER_S)
        headers['retry-after'] = str(seconds)
    return Response(
        problem_json(refusal),
        status_code=refusal.status,
        media_type='application/problem+json',
        headers=headers,
    )


def _draining_refusal() -> Refusal:
    return Refusal(
        reason=ReasonCode.DRAINING,
        detail='this entry is draining, send the request again',
        step=Step.ADMIT,
        ran=Ran.NOT_RUN,
        retry_after_ms=_DRAINING_RETRY_MS,
    )
