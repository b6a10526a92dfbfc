"""Validation rules for a complete set of objects."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator

from bergamotthread.version.faults import (
    Fault,
    check_positive,
    check_range,
    list_valid,
)
from bergamotthread.version.objects import (
    KINDS,
    Operator,
    Service,
    ServiceKind,
    Stop,
    Team,
    Upstream,
)
from bergamotthread.version.route_rules import check_routes
from bergamotthread.version.set_index import SetIndex

MAX_PORT = 65_535
MAX_OUTAGE_LEASE_MS = 86_400_000
METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'))

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,99}')
_DIGEST = re.compile('[0-9a-f]{64}')
_EXPECTED_NAME = 'expected 1 to 100 letters, digits, dots, dashes, underscores'
_EXPECTED_DIGEST = 'expected a SHA-256 digest of 64 lower-case hex digits'

Faults = Iterator[Fault]
_Rule = Callable[[SetIndex], Iterable[Fault]]


def find_faults(index: SetIndex) -> Faults:
    """Yield all faults of a set."""
    for rule in _RULES:
        yield from rule(index)


def check_address(path: str, address: str) -> Faults:
    """Yield a fault if `address` is not an IP number and port."""
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        yield Fault(path, address, 'expected an IP number and port, not a name')
        return
    valid_port = port.isascii() and port.isdigit()
    if not (valid_port and 0 < int(port[:6]) <= MAX_PORT):
        yield Fault(path, address, f'expected a port from 1 to {MAX_PORT}')


def _check_names(index: SetIndex) -> Faults:
    for kind in KINDS:
        first_by_name: dict[str, int] = {}
        for position, named in enumerate(getattr(index.object_set, kind)):
            path = f'$.{kind}[{position}].name'
            if not _NAME.fullmatch(named.name):
                yield Fault(path, named.name, _EXPECTED_NAME)
            first = first_by_name.setdefault(named.name, position)
            if first != position:
                expected = f'already used at $.{kind}[{first}]'
                yield Fault(path, named.name, expected)


def _check_credentials(index: SetIndex) -> Faults:
    path_by_digest: dict[str, str] = {}
    for kind in ('teams', 'operators'):
        for position, owner in enumerate(getattr(index.object_set, kind)):
            path = f'$.{kind}[{position}].credential_hashes'
            yield from _check_credential_hashes(path, owner, path_by_digest)


def _check_credential_hashes(
    path: str,
    owner: Team | Operator,
    path_by_digest: dict[str, str],
) -> Faults:
    for position, digest in enumerate(owner.credential_hashes):
        digest_path = f'{path}[{position}]'
        if not _DIGEST.fullmatch(digest):
            yield Fault(digest_path, digest, _EXPECTED_DIGEST)
        first = path_by_digest.setdefault(digest, digest_path)
        if first != digest_path:
            yield Fault(digest_path, digest, f'already used at {first}')


def _check_regions(index: SetIndex) -> Faults:
    for position, region in enumerate(index.object_set.regions):
        path = f'$.regions[{position}].egress_price_per_gb'
        yield from check_range(path, region.egress_price_per_gb, 0)
    for position, domain in enumerate(index.object_set.failure_domains):
        path = f'$.failure_domains[{position}].region'
        yield from index.check_reference(path, 'regions', domain.region)


def _check_teams(index: SetIndex) -> Faults:
    for position, team in enumerate(index.object_set.teams):
        path = f'$.teams[{position}]'
        yield from check_positive(f'{path}.weight', team.weight)
        yield from check_positive(f'{path}.requests_per_s', team.requests_per_s)
        generations = team.concurrent_generations
        yield from check_range(f'{path}.concurrent_generations', generations, 1)
        if team.home_region:
            home = team.home_region
            home_path = f'{path}.home_region'
            yield from index.check_reference(home_path, 'regions', home)


def _check_models(index: SetIndex) -> Faults:
    for position, model in enumerate(index.object_set.models):
        path = f'$.models[{position}]'
        if not model.versions:
            yield Fault(f'{path}.versions', (), 'expected at least one version')
        context_path = f'{path}.context_tokens'
        yield from check_range(context_path, model.context_tokens, 1)
        yield from check_range(f'{path}.load_bytes', model.load_bytes, 0)


def _check_services(index: SetIndex) -> Faults:
    for position, service in enumerate(index.object_set.services):
        path = f'$.services[{position}]'
        resume = service.resume
        attempts_path = f'{path}.resume.max_attempts'
        yield from check_range(attempts_path, resume.max_attempts, 1)
        standby_path = f'{path}.resume.standby_after_tokens'
        yield from check_range(standby_path, resume.standby_after_tokens, 0)
        yield from check_positive(f'{path}.deadline_ms', service.deadline_ms)
        lifetime_path = f'{path}.key_lifetime_ms'
        yield from check_positive(lifetime_path, service.key_lifetime_ms)
        yield from _check_calls(f'{path}.calls', service)


def _check_calls(path: str, service: Service) -> Faults:
    if service.calls and service.kind is ServiceKind.MODEL:
        yield Fault(path, service.kind, 'expected no calls in a model service')
    seen: set[tuple[str, str]] = set()
    for position, call in enumerate(service.calls):
        call_path = f'{path}[{position}]'
        if call.method not in METHODS:
            valid = list_valid(METHODS)
            yield Fault(f'{call_path}.method', call.method, f'valid: {valid}')
        if not call.path_prefix.startswith('/'):
            prefix = call.path_prefix
            yield Fault(
                f'{call_path}.path_prefix', prefix, 'expected a leading /'
            )
        yield from check_positive(f'{call_path}.timeout_ms', call.timeout_ms)
        if (call.method, call.path_prefix) in seen:
            yield Fault(
                call_path, call.path_prefix, 'already used for this method'
            )
        seen.add((call.method, call.path_prefix))


def _check_upstreams(index: SetIndex) -> Faults:
    first_by_agent: dict[str, int] = {}
    for position, upstream in enumerate(index.object_set.upstreams):
        path = f'$.upstreams[{position}]'
        yield from _check_upstream(index, path, upstream)
        first = first_by_agent.setdefault(upstream.agent, position)
        if first != position:
            expected = f'already used at $.upstreams[{first}]'
            yield Fault(f'{path}.agent', upstream.agent, expected)


def _check_upstream(index: SetIndex, path: str, upstream: Upstream) -> Faults:
    yield from check_address(f'{path}.agent', upstream.agent)
    domain_path = f'{path}.failure_domain'
    domain = upstream.failure_domain
    yield from index.check_reference(domain_path, 'failure_domains', domain)
    yield from check_range(f'{path}.kv_capacity', upstream.kv_capacity, 0)
    yield from check_range(f'{path}.max_running', upstream.max_running, 0)
    for position, pin in enumerate(upstream.models):
        yield from index.check_pin(f'{path}.models[{position}]', pin)
    if bool(upstream.models) == bool(upstream.service):
        expected = 'expected either models or a service'
        yield Fault(path, upstream.name, expected)
    if upstream.service:
        yield from _check_service_kind(index, path, upstream.service)


def _check_service_kind(index: SetIndex, path: str, name: str) -> Faults:
    service_path = f'{path}.service'
    yield from index.check_reference(service_path, 'services', name)
    service = index.services_by_name.get(name)
    if service is not None and service.kind is ServiceKind.MODEL:
        yield Fault(service_path, name, 'expected a plain service')


def _check_stops(index: SetIndex) -> Faults:
    for position, stop in enumerate(index.object_set.stops):
        path = f'$.stops[{position}]'
        yield from check_address(f'{path}.address', stop.address)
        yield from _check_stop_times(path, stop)


def _check_stop_times(path: str, stop: Stop) -> Faults:
    yield from check_range(f'{path}.start_ms', stop.start_ms, 0)
    if stop.deadline_ms < stop.start_ms:
        expected = f'expected at least start_ms, which is {stop.start_ms}'
        yield Fault(f'{path}.deadline_ms', stop.deadline_ms, expected)


def _check_outage_lease(index: SetIndex) -> Faults:
    lease_ms = index.object_set.outage_lease_ms
    path = '$.outage_lease_ms'
    yield from check_range(path, lease_ms, 0, MAX_OUTAGE_LEASE_MS)


_RULES: tuple[_Rule, ...] = (
    _check_names,
    _check_credentials,
    _check_regions,
    _check_teams,
    _check_models,
    _check_services,
    _check_upstreams,
    _check_stops,
    _check_outage_lease,
    check_routes,
)
