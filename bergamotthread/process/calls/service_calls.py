"""Routing of calls to plain services: their rule and their upstreams."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.errors import Step
from bergamotthread.request.call_request import CallRequest, find_rule
from bergamotthread.request.refusal import (
    ReasonCode,
    RefusedError,
    not_run,
)
from bergamotthread.version.objects import (
    Service,
    ServiceKind,
)
from bergamotthread.version.published import PublishedVersion

_REMOVED_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'host',
        'idempotency-key',
        'keep-alive',
        'te',
        'transfer-encoding',
        'upgrade',
    ),
)


@dataclass(frozen=True)
class ServiceRequestParts:
    """Caller's request as received; `path` starts with a slash.

    With `first_send` the caller states that it never sent the key before.
    """

    team: str
    service: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str = ''
    first_send: bool = False


def build_call_request(
    parts: ServiceRequestParts,
    published: PublishedVersion,
    region: str,
) -> CallRequest:
    """Return the call for a caller's request.

    Raises
    ------
    RefusedError
        If the service does not exist, is not open to the team or has no
        upstream, or if a call that is not idempotent has no idempotency key.
    """
    service = _find_service(parts, published)
    rule = find_rule(service, parts.method, parts.path)
    agents = _agents_local_first(service, published, region)
    if not agents:
        raise _refusal_error(
            ReasonCode.NO_UPSTREAM,
            f'no upstream serves {service.name!r}',
            published,
        )
    if not rule.idempotent and not parts.key:
        raise _refusal_error(
            ReasonCode.BAD_REQUEST,
            f'{parts.method} {parts.path} needs an Idempotency-Key header, '
            'since it runs at most once',
            published,
        )
    query = f'?{parts.query}' if parts.query else ''
    return CallRequest(
        service=service.name,
        team=parts.team,
        key=parts.key,
        method=parts.method,
        path=f'{parts.path}{query}',
        headers=_forwarded_headers(parts.headers),
        body=parts.body,
        idempotent=rule.idempotent,
        agents=agents,
        timeout_ms=rule.timeout_ms,
        first_send=parts.first_send,
        key_lifetime_ms=service.key_lifetime_ms,
        config_version=published.version,
    )


def _find_service(
    parts: ServiceRequestParts,
    published: PublishedVersion,
) -> Service:
    plain = {
        name: service
        for name, service in published.services_by_name.items()
        if service.kind is ServiceKind.PLAIN
    }
    service = plain.get(parts.service)
    if service is None:
        valid = ', '.join(sorted(plain)) or 'none'
        raise _refusal_error(
            ReasonCode.NOT_FOUND,
            f'no plain service {parts.service!r}, valid ones: {valid}',
            published,
        )
    if _is_open_to_team(service, parts.team, published):
        return service
    raise _refusal_error(
        ReasonCode.FORBIDDEN,
        f'no route opens {parts.service!r} to team {parts.team!r}',
        published,
    )


def _is_open_to_team(
    service: Service,
    team: str,
    published: PublishedVersion,
) -> bool:
    return any(
        route.service == service.name
        and (not route.teams or team in route.teams)
        for route in published.object_set.routes
    )


def _agents_local_first(
    service: Service,
    published: PublishedVersion,
    region: str,
) -> tuple[str, ...]:
    """Return the agents of a service, those of `region` first."""
    serving = [
        upstream
        for upstream in published.object_set.upstreams
        if upstream.service == service.name
    ]
    local = [
        upstream
        for upstream in serving
        if published.region_of(upstream) == region
    ]
    remote = [upstream for upstream in serving if upstream not in local]
    return tuple(upstream.agent for upstream in (*local, *remote))


def _forwarded_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, header_value)
        for name, header_value in headers
        if name.lower() not in _REMOVED_HEADERS
    )


def _refusal_error(
    reason: ReasonCode,
    detail: str,
    published: PublishedVersion,
) -> RefusedError:
    return not_run(
        reason,
        detail,
        Step.ROUTE,
        config_version=published.version,
    )
