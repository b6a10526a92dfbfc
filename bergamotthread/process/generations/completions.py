"""Admits completions: route, idempotency key, cursor."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.errors import DecodeError, Step
from bergamotthread.process.generations.generations import Generations
from bergamotthread.process.generations.poison import fingerprint
from bergamotthread.process.overload.admission import CHARS_PER_TOKEN
from bergamotthread.process.routing.placement import PlacementRequest
from bergamotthread.process.routing.prefix_hash import block_hashes
from bergamotthread.request.completion import (
    CompletionRequest,
    request_digest,
)
from bergamotthread.request.completion_stream import (
    CompletionStream,
    StreamOptions,
    digest_tokens,
)
from bergamotthread.request.cursor import Cursor, CursorSigner
from bergamotthread.request.generation import Generation, GenerationSpec
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import (
    ReasonCode,
    Refusal,
    RefusedError,
    not_run,
)
from bergamotthread.version.objects import Route, Service
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Pin


@dataclass(frozen=True)
class Caller:
    """Who asks, and how the request is to be recognised when repeated."""

    team: str
    idempotency_key: str = ''
    last_event_id: str = ''


@dataclass(frozen=True)
class _Known:
    """Generation that a team's idempotency key stands for."""

    live: LiveGeneration
    digest: int


class Completions:
    """Starts, joins and resumes generations for callers."""

    def __init__(
        self,
        generations: Generations,
        signer: CursorSigner,
        clock: Clock,
        stamp: Callable[[Refusal], Refusal],
    ) -> None:
        self._stamp = stamp
        self._generations = generations
        self._signer = signer
        self._clock = clock
        self._known_by_key: dict[tuple[str, str], _Known] = {}

    def open(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
    ) -> tuple[LiveGeneration, CompletionStream]:
        """Return the generation of a request and the caller's stream of it.

        Raises
        ------
        RefusedError
            If the request is not admitted; nothing has run then.
        """
        digest = request_digest(request, caller.team)
        offset = 0
        if caller.last_event_id:
            cursor = self._check_cursor(caller, digest)
            offset = cursor.offset
            live = self._reconnect(request, caller, published, cursor)
        else:
            joined = self._join(caller, digest)
            live = joined or self._start(request, caller, published)
        self._remember(caller, live, digest)
        options = StreamOptions(
            offset,
            request.model,
            digest,
            request.include_tokens,
        )
        stream = CompletionStream(live, self._signer, self._stamp, options)
        return live, stream

    def forget_released(self) -> None:
        """Drop the keys of generations that are no longer held."""
        for key, known in tuple(self._known_by_key.items()):
            identity = known.live.generation.spec.generation
            if identity not in self._generations.by_id:
                self._known_by_key.pop(key)

    def _check_cursor(self, caller: Caller, digest: int) -> Cursor:
        try:
            cursor = self._signer.verify(caller.last_event_id)
        except DecodeError as error:
            raise _refused(ReasonCode.BAD_CURSOR, error.message) from error
        if cursor.team != caller.team:
            raise _refused(ReasonCode.BAD_CURSOR, 'cursor of another team')
        if cursor.request_digest != digest:
            raise _refused(ReasonCode.BAD_CURSOR, 'cursor of another request')
        return cursor

    def _join(self, caller: Caller, digest: int) -> LiveGeneration | None:
        known = self._known_by_key.get((caller.team, caller.idempotency_key))
        if known is None or not caller.idempotency_key:
            return None
        if known.digest != digest:
            raise _refused(
                ReasonCode.KEY_REUSED,
                'the idempotency key was used with another request',
            )
        return known.live if _is_joinable(known.live) else None

    def _remember(
        self,
        caller: Caller,
        live: LiveGeneration,
        digest: int,
    ) -> None:
        if caller.idempotency_key:
            key = (caller.team, caller.idempotency_key)
            self._known_by_key[key] = _Known(live, digest)

    def _start(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
    ) -> LiveGeneration:
        identity = f'gen-{uuid.uuid4().hex}'
        live = self._live(request, caller, published, identity)
        self._generations.start(live)
        return live

    def _reconnect(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
        cursor: Cursor,
    ) -> LiveGeneration:
        held = self._generations.by_id.get(cursor.generation)
        if held is not None and not held.generation.is_cancelled:
            return held
        accepted = request.accepted_tokens
        if accepted and not _covers(cursor, accepted):
            raise _refused(
                ReasonCode.BAD_CURSOR,
                f'{len(accepted)} accepted tokens differ from the '
                f'{cursor.offset} that the cursor stands for',
            )
        live = self._live(
            request,
            caller,
            published,
            cursor.generation,
        )
        live.fallback_tokens = accepted
        live.required_offset = cursor.offset
        self._generations.adopt(live, cursor.agent, cursor.attempt)
        return live

    def _live(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
        identity: str,
    ) -> LiveGeneration:
        route = find_route(published, request.model, caller.team)
        service = published.services_by_name[route.service]
        pin = Pin(route.model, route.version, route.adapter)
        now_ms = self._clock.now_ms()
        spec = GenerationSpec(
            generation=identity,
            team=caller.team,
            pin=pin,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            deadline_ms=now_ms + _duration_ms(request, service),
            priority=request.priority,
            fingerprint=fingerprint(caller.team, pin, request.prompt),
        )
        placement_request = PlacementRequest(
            generation=identity,
            team=caller.team,
            pin=pin,
            prompt_tokens=len(request.prompt) // CHARS_PER_TOKEN,
            prefix_hashes=block_hashes(request.prompt, _pin_key(pin)),
            cross_region=service.resume.cross_region,
            regions=route.regions,
        )
        live = LiveGeneration(
            Generation(spec),
            placement_request,
            service.resume,
            now_ms,
        )
        live.config_version = published.version
        return live


def _is_joinable(live: LiveGeneration) -> bool:
    """Return whether a repeated request may read a generation's output."""
    generation = live.generation
    return generation.refusal is None and not generation.is_cancelled


def find_route(
    published: PublishedVersion,
    model: str,
    team: str,
) -> Route:
    """Return the route that a request's model name selects for a team.

    The name is that of a route, else that of a model.

    Raises
    ------
    RefusedError
        If no route of a model service has the name or is open to the team.
    """
    routes = [
        route
        for route in published.object_set.routes
        if model in {route.name, route.model} and route.model
    ]
    if not routes:
        valid = ', '.join(sorted(published.routes_by_name))
        raise _refused(
            ReasonCode.NOT_FOUND,
            f'no route or model {model!r}, valid ones: {valid}',
        )
    for route in routes:
        if not route.teams or team in route.teams:
            return route
    raise _refused(
        ReasonCode.FORBIDDEN,
        f'{model!r} is not open to team {team!r}',
    )


def _covers(cursor: Cursor, accepted: tuple[str, ...]) -> bool:
    if len(accepted) != cursor.offset:
        return False
    return digest_tokens(accepted) == cursor.output_digest


def _duration_ms(request: CompletionRequest, service: Service) -> int:
    if request.deadline_ms > 0:
        return min(request.deadline_ms, service.deadline_ms)
    return service.deadline_ms


def _pin_key(pin: Pin) -> str:
    return '\0'.join((pin.model, pin.version, pin.adapter))


def _refused(reason: ReasonCode, detail: str) -> RefusedError:
    return not_run(reason, detail, Step.ADMIT)
