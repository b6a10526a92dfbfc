"""HTTP routes for the platform's load balancer and for metrics."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from bergamotthread.process.metrics import Metrics

METRICS_MEDIA_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
NOT_READY_STATUS = 503


class Readiness(msgspec.Struct, frozen=True, omit_defaults=True):
    """Readiness for new work, with the reasons against it."""

    reasons: tuple[str, ...] = ()

    @property
    def is_ready(self) -> bool:
        """Return whether there is no reason to refuse new work."""
        return not self.reasons


class _ReadinessBody(msgspec.Struct, frozen=True):
    """Body of ``/readyz``."""

    ready: bool
    reasons: tuple[str, ...]


def health_routes(
    metrics: Metrics,
    read_readiness: Callable[[], Readiness],
) -> tuple[Route, ...]:
    """Return the routes ``/metrics``, ``/healthz`` and ``/readyz``.

    Parameters
    ----------
    read_readiness
        Called for each request of the load balancer; must not block.
    """
    handlers = _Health(metrics, read_readiness)
    return (
        Route('/metrics', handlers.show_metrics),
        Route('/healthz', handlers.show_health),
        Route('/readyz', handlers.show_readiness),
    )


class _Health:
    """Handlers of the health and metrics routes."""

    def __init__(
        self,
        metrics: Metrics,
        read_readiness: Callable[[], Readiness],
    ) -> None:
        self._metrics = metrics
        self._read_readiness = read_readiness

    async def show_metrics(self, request: Request) -> Response:
        """Return all metrics."""
        return Response(
            self._metrics.expose(),
            headers={'content-type': METRICS_MEDIA_TYPE},
        )

    async def show_health(self, request: Request) -> Response:
        """Return OK, which shows that the event loop runs."""
        return PlainTextResponse('ok\n')

    async def show_readiness(self, request: Request) -> Response:
        """Return whether new work is accepted, and the reasons if not."""
        readiness = self._read_readiness()
        body = _ReadinessBody(readiness.is_ready, readiness.reasons)
        return Response(
            msgspec.json.encode(body),
            status_code=200 if readiness.is_ready else NOT_READY_STATUS,
            media_type='application/json',
        )
