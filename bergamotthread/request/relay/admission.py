"""Admission of a request before it is sent to an upstream."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import CallerRequest
from bergamotthread.process.poison.fingerprints import (
    RequestFingerprints,
    part_fingerprint,
    relayed_fingerprint,
)
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.request.relay.call import (
    DEFAULT_PROMPT_TOKENS,
    RelayedCall,
)
from bergamotthread.request.relay.dialect import (
    AUTHORIZATION,
    RESUME_AFTER,
    RelayHeaderNames,
)
from bergamotthread.request.relay.refusals import RelayRefusal
from bergamotthread.version.route_table import (
    RelayRoute,
    RelayService,
    RouteTable,
    WeightedService,
)

# Sent as Retry-After where this entry has no version, or a stale one; another
# entry is likely to have a current one.
NOT_READY_RETRY_AFTER_MS = 300
# Time limit of a request whose caller sends none.
DEFAULT_TIMEOUT_MS = 30_000.0
# Shared parts of a prompt by which a request is recognised.
PARTS_MAX = 16
# Digits of a number of tokens that is read; a longer one is taken for unknown.
COUNT_DIGITS_MAX = 9
# The same for the number of an event, which may be a time.
EVENT_ID_DIGITS_MAX = 18
_BEARER = b'bearer '


@dataclass(frozen=True)
class Admission:
    """Checks requests against the current version of the configuration."""

    clock: Clock
    header_names: RelayHeaderNames
    freshness: VersionFreshness
    rng: random.Random

    def admit(
        self,
        exchange: Exchange,
        table: RouteTable | None,
    ) -> RelayedCall | RelayRefusal:
        """Return the admitted call, or the refusal to send."""
        request = exchange.request
        if table is None:
            return _not_ready_refusal('this entry knows no version yet')
        route = table.match(request.header(b'host') or b'', request.target)
        if route is None:
            return RelayRefusal(
                404,
                'no-route',
                f'version {table.version}',
            )
        team = self._authenticate(request, route, table)
        if isinstance(team, RelayRefusal):
            return team
        request_id = request.header(self.header_names.request_id)
        if not request_id:
            return RelayRefusal(
                400,
                'no-request-id',
                'identifier is missing',
            )
        return self._make_call(exchange, table, route, team)

    def _authenticate(
        self,
        request: CallerRequest,
        route: RelayRoute,
        table: RouteTable,
    ) -> str | RelayRefusal:
        if table.team_by_key is None:
            return ''
        team = table.team_by_key.get(_bearer_key(request), '')
        if not route.needs_key:
            return team
        if not self.freshness.may_accept_keys:
            age_ms = self.freshness.age_ms
            return _not_ready_refusal(
                f'keys were last confirmed {age_ms:.0f} ms ago',
            )
        if not team:
            return RelayRefusal(
                401,
                'unknown-key',
                f'version {table.version} has no such key',
            )
        return team

    def _make_call(
        self,
        exchange: Exchange,
        table: RouteTable,
        route: RelayRoute,
        team: str,
    ) -> RelayedCall:
        request = exchange.request
        service_name = _draw_service(route.services, self.rng)
        service = table.service_by_name.get(service_name)
        requested_timeout_ms = _parse_number(
            request.header(self.header_names.remaining_ms)
        )
        timeout_ms = requested_timeout_ms or DEFAULT_TIMEOUT_MS
        return RelayedCall(
            exchange=exchange,
            route=route,
            service=service or RelayService(service_name, '/health', 100),
            team=team,
            request_id=request.header(self.header_names.request_id) or b'',
            deadline_ms=request.received_ms + min(timeout_ms, route.timeout_ms),
            version=table.version,
            fingerprints=self._fingerprints(request, team),
            prompt_tokens=self._prompt_tokens(request, route),
            resume_after=_last_event_id(request),
            affinity=self._affinity(request),
            origin=request.header(self.header_names.origin) or b'',
            output_tokens_max=self._output_tokens_max(request),
            output_tokens_hint=_parse_count(
                request.header(self.header_names.length_hint)
            ),
            rank=table.rank(route, service_name, team),
        )

    def _fingerprints(
        self, request: CallerRequest, team: str
    ) -> RequestFingerprints:
        host = request.header(b'host') or b''
        fields = (request.method, host, request.target, request.body)
        model = request.header(self.header_names.model) or b''
        *shared, _ = self._part_ids(request)
        return RequestFingerprints(
            relayed_fingerprint(team, fields),
            tuple(
                part_fingerprint(model, part_id)
                for part_id in shared[:PARTS_MAX]
            ),
        )

    def _affinity(self, request: CallerRequest) -> bytes:
        """Return the identifier of the last prompt part.

        That part belongs to the request or its session alone.
        """
        return self._part_ids(request)[-1]

    def _part_ids(self, request: CallerRequest) -> list[bytes]:
        """Return the identifiers of the prompt parts; one empty if none."""
        prompt_parts = request.header(self.header_names.prompt_parts) or b''
        return [
            part.partition(b':')[0].strip() for part in prompt_parts.split(b',')
        ]

    def _output_tokens_max(self, request: CallerRequest) -> int:
        token_counts = request.header(self.header_names.token_counts) or b''
        return _parse_count(token_counts.partition(b',')[-1])

    def _prompt_tokens(self, request: CallerRequest, route: RelayRoute) -> int:
        if not route.is_stream:
            return 0
        token_counts = request.header(self.header_names.token_counts) or b''
        prompt_tokens = token_counts.partition(b',')[0]
        return _parse_count(prompt_tokens) or DEFAULT_PROMPT_TOKENS


def _parse_count(text: bytes | None) -> int:
    """Return a number of tokens; 0 if the text is no such number."""
    return _parse_digits(text, COUNT_DIGITS_MAX) or 0


def _parse_digits(text: bytes | None, digits_max: int) -> int | None:
    """Return a whole number; None if the text is none, or a longer one."""
    digits = (text or b'').strip()
    is_number = digits.isdigit() and len(digits) <= digits_max
    return int(digits) if is_number else None


def _not_ready_refusal(detail: str) -> RelayRefusal:
    return RelayRefusal(503, 'not-ready', detail, NOT_READY_RETRY_AFTER_MS)


def _bearer_key(request: CallerRequest) -> bytes:
    authorization = request.header(AUTHORIZATION) or b''
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return b''
    return authorization[len(_BEARER) :].strip()


def _draw_service(
    services: Sequence[WeightedService], rng: random.Random
) -> str:
    if len(services) == 1:
        return services[0].service
    weights = [service.weight for service in services]
    return rng.choices(services, weights)[0].service


def _last_event_id(request: CallerRequest) -> int | None:
    return _parse_digits(request.header(RESUME_AFTER), EVENT_ID_DIGITS_MAX)


def _parse_number(text: bytes | None) -> float | None:
    try:
        number = float(text or b'')
    except ValueError:
        return None
    return number if math.isfinite(number) else None
