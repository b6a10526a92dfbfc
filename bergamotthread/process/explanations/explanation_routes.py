"""Route `GET /v1/explanations/{id}`, which explains refusals."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from bergamotthread.errors import DecodeError, Step, StoreUnavailableError
from bergamotthread.process.explanations.explanations import (
    Explanations,
    describe_missing,
)
from bergamotthread.request.authentication import (
    authenticate_operator,
    authenticate_team,
)
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
    problem_json,
)
from bergamotthread.version.published import PublishedVersion

STORE_UNAVAILABLE_RETRY_AFTER_MS = 5000

ReadVersion = Callable[[], PublishedVersion]


def explanation_routes(
    explanations: Explanations,
    read_version: ReadVersion,
) -> tuple[Route, ...]:
    """Return the route that explains refusals.

    A team can read only its own refusals; an operator can read all.

    Parameters
    ----------
    read_version
        Returns the version in force or raises `RefusedError`.
    """
    explain = _ExplanationHandler(explanations, read_version).explain
    return (Route('/v1/explanations/{request_id}', explain),)


class _ExplanationHandler:
    """Handles requests to the route."""

    def __init__(
        self,
        explanations: Explanations,
        read_version: ReadVersion,
    ) -> None:
        self._explanations = explanations
        self._read_version = read_version

    async def explain(self, request: Request) -> Response:
        """Respond with a refusal as JSON or with a problem document."""
        request_id = request.path_params['request_id']
        try:
            refusal = await self._find(request, request_id)
        except RefusedError as error:
            return _problem(error.refusal)
        except (StoreUnavailableError, DecodeError) as error:
            return _problem(_unavailable(str(error)))
        if refusal is None:
            return _problem(_not_found(request_id))
        return Response(
            msgspec.json.encode(refusal),
            media_type='application/json',
        )

    async def _find(self, request: Request, request_id: str) -> Refusal | None:
        published = self._read_version()
        authorization = request.headers.get('authorization', '')
        try:
            authenticate_operator(authorization, published)
        except RefusedError:
            team = authenticate_team(authorization, published)
            return await self._explanations.find(request_id, team.name)
        return await self._explanations.find_for_operator(request_id)


def _not_found(request_id: str) -> Refusal:
    return Refusal(
        reason=ReasonCode.NOT_FOUND,
        detail=describe_missing(request_id),
        step=Step.RECORD,
        ran=Ran.NOT_RUN,
    )


def _unavailable(detail: str) -> Refusal:
    return Refusal(
        reason=ReasonCode.STORE_UNAVAILABLE,
        detail=detail,
        step=Step.RECORD,
        ran=Ran.NOT_RUN,
        retry_after_ms=STORE_UNAVAILABLE_RETRY_AFTER_MS,
    )


def _problem(refusal: Refusal) -> Response:
    return Response(
        problem_json(refusal),
        status_code=refusal.status,
        media_type='application/problem+json',
    )
