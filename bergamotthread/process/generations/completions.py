"""Admits completion requests: route, idempotency key and cursor."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.errors import DecodeError, Step
from bergamotthread.process.generations.generations import Generations
from bergamotthread.process.overload.admission import CHARS_PER_TOKEN
from bergamotthread.process.poison.fingerprints import request_fingerprint
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
    """Team of a caller and the headers that identify a repeated request."""

    team: str
    idempotency_key: str = ''
    last_event_id: str = ''


@dataclass(frozen=True)
class _Known:
    """Generation started under an idempotency key, with its request digest."""

    live: LiveGeneration
    digest: int


class Completions:
    """Starts, joins and resumes generations for callers.

    A repeated idempotency key joins the generation that it started; a
    ``Last-Event-ID`` reconnects to a generation at the offset of its cursor.

    Parameters
    ----------
    record_refusal
        Records a refusal that ends a stream and returns it with the request
        id under which it is explained.
    """

    def __init__(
        self,
        generations: Generations,
        signer: CursorSigner,
        clock: Clock,
        record_refusal: Callable[[Refusal], Refusal],
    ) -> None:
        self._record_refusal = record_refusal
        self._generations = generations
        self._signer = signer
        self._clock = clock
        self._generation_by_key: dict[tuple[str, str], _Known] = {}

    def open(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
    ) -> tuple[LiveGeneration, CompletionStream]:
        """Return the generation for a request and a stream of its output.

        Raises
        ------
        RefusedError
            If the request is not admitted; in this case it starts nothing.
        """
        digest = request_digest(request, caller.team)
        offset = 0
        if caller.last_event_id:
            cursor = self._verify_cursor(caller, digest)
            offset = cursor.offset
            live = self._reconnect(request, caller, published, cursor)
        else:
            joined = self._join(caller, digest)
            live = joined or self._start(request, caller, published)
        self._store_key(caller, live, digest)
        options = StreamOptions(
            offset,
            request.model,
            digest,
            request.include_tokens,
        )
        stream = CompletionStream(
            live, self._signer, self._record_refusal, options
        )
        return live, stream

    def evict_released(self) -> None:
        """Remove the keys of generations that the entry has released."""
        for key, keyed in tuple(self._generation_by_key.items()):
            generation_id = keyed.live.generation.spec.generation
            if generation_id not in self._generations.by_id:
                self._generation_by_key.pop(key)

    def _verify_cursor(self, caller: Caller, digest: int) -> Cursor:
        try:
            cursor = self._signer.verify(caller.last_event_id)
        except DecodeError as error:
            raise _refusal_error(
                ReasonCode.BAD_CURSOR, error.message
            ) from error
        if cursor.team != caller.team:
            raise _refusal_error(
                ReasonCode.BAD_CURSOR,
                'cursor of another team',
            )
        if cursor.request_digest != digest:
            raise _refusal_error(
                ReasonCode.BAD_CURSOR,
                'cursor of another request',
            )
        return cursor

    def _join(self, caller: Caller, digest: int) -> LiveGeneration | None:
        keyed = self._generation_by_key.get(
            (caller.team, caller.idempotency_key)
        )
        if keyed is None or not caller.idempotency_key:
            return None
        if keyed.digest != digest:
            raise _refusal_error(
                ReasonCode.KEY_REUSED,
                'the idempotency key was used with another request',
            )
        return keyed.live if _is_joinable(keyed.live) else None

    def _store_key(
        self,
        caller: Caller,
        live: LiveGeneration,
        digest: int,
    ) -> None:
        if caller.idempotency_key:
            key = (caller.team, caller.idempotency_key)
            self._generation_by_key[key] = _Known(live, digest)

    def _start(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
    ) -> LiveGeneration:
        generation_id = f'gen-{uuid.uuid4().hex}'
        live = self._create_live(request, caller, published, generation_id)
        self._generations.start(live)
        return live

    def _reconnect(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
        cursor: Cursor,
    ) -> LiveGeneration:
        existing = self._generations.by_id.get(cursor.generation)
        if existing is not None and not existing.generation.is_cancelled:
            return existing
        accepted = request.accepted_tokens
        if accepted and not _matches_cursor(cursor, accepted):
            raise _refusal_error(
                ReasonCode.BAD_CURSOR,
                f'{len(accepted)} accepted tokens differ from the '
                f'{cursor.offset} that the cursor stands for',
            )
        live = self._create_live(
            request,
            caller,
            published,
            cursor.generation,
        )
        live.fallback_tokens = accepted
        live.required_offset = cursor.offset
        self._generations.adopt(live, cursor.agent, cursor.attempt)
        return live

    def _create_live(
        self,
        request: CompletionRequest,
        caller: Caller,
        published: PublishedVersion,
        generation_id: str,
    ) -> LiveGeneration:
        route = find_route(published, request.model, caller.team)
        service = published.services_by_name[route.service]
        pin = Pin(route.model, route.version, route.adapter)
        now_ms = self._clock.now_ms()
        spec = GenerationSpec(
            generation=generation_id,
            team=caller.team,
            pin=pin,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            deadline_ms=now_ms + _timeout_ms(request, service),
            priority=request.priority,
            fingerprint=request_fingerprint(caller.team, pin, request.prompt),
        )
        placement_request = PlacementRequest(
            generation=generation_id,
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
    """Return whether a repeated request may join a generation."""
    generation = live.generation
    return generation.refusal is None and not generation.is_cancelled


def find_route(
    published: PublishedVersion,
    model: str,
    team: str,
) -> Route:
    """Return the route for a model name and a team.

    Parameters
    ----------
    model
        Name of a route, or of the model that a route serves.

    Raises
    ------
    RefusedError
        If no route to a model service matches the name, or none that does is
        open to the team.
    """
    routes = [
        route
        for route in published.object_set.routes
        if model in {route.name, route.model} and route.model
    ]
    if not routes:
        valid = ', '.join(sorted(published.routes_by_name))
        raise _refusal_error(
            ReasonCode.NOT_FOUND,
            f'no route or model {model!r}, valid ones: {valid}',
        )
    for route in routes:
        if not route.teams or team in route.teams:
            return route
    raise _refusal_error(
        ReasonCode.FORBIDDEN,
        f'{model!r} is not open to team {team!r}',
    )


def _matches_cursor(cursor: Cursor, accepted: tuple[str, ...]) -> bool:
    if len(accepted) != cursor.offset:
        return False
    return digest_tokens(accepted) == cursor.output_digest


def _timeout_ms(request: CompletionRequest, service: Service) -> int:
    if request.deadline_ms > 0:
        return min(request.deadline_ms, service.deadline_ms)
    return service.deadline_ms


def _pin_key(pin: Pin) -> str:
    return '\0'.join((pin.model, pin.version, pin.adapter))


def _refusal_error(reason: ReasonCode, detail: str) -> RefusedError:
    return not_run(reason, detail, Step.ADMIT)
