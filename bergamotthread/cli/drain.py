"""Commands that plan, publish and follow planned stops of hosts."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

import click
import msgspec

from bergamotthread.clock import Clock
from bergamotthread.errors import BergamotError
from bergamotthread.process.drain.drain_plan import (
    DrainLimits,
    DrainPlan,
    find_targets,
    plan_stops,
)
from bergamotthread.process.drain.drain_report import (
    DrainVerdict,
    read_verdicts,
)
from bergamotthread.process.store.platform import HostList, Table
from bergamotthread.version.objects import ObjectSet, Stop
from bergamotthread.version.published import PublishedVersion


class DrainContext(Protocol):
    """Object of the click context of the drain commands."""

    clock: Clock

    def table(self) -> Table:
        """Return a client of the platform's table."""

    def host_list(self) -> HostList:
        """Return a client of the platform's host list."""

    async def read_version(self) -> PublishedVersion:
        """Return the newest published version."""

    async def publish(self, base_version: int, object_set: ObjectSet) -> int:
        """Publish a set that replaces `base_version`; return its number."""


_addresses = click.argument('addresses', nargs=-1, required=True)
_per_failure_domain = click.option(
    '--per-failure-domain',
    default=DrainLimits.per_failure_domain,
    show_default=True,
    help='Maximum number of hosts of one failure domain stopped at once.',
)
_model_percent = click.option(
    '--model-percent',
    default=DrainLimits.model_percent,
    show_default=True,
    help='Maximum percentage of the upstreams of one model stopped at once.',
)
_minutes = click.option(
    '--minutes',
    default=30,
    show_default=True,
    help='Time for each host to finish its work, in minutes.',
)
_reason = click.option(
    '--reason', default='', help='Reason for the stops, kept with each of them.'
)
_MS_PER_MINUTE = 60_000
_Command = TypeVar('_Command', bound=Callable[..., Any])


def _limit_options(command: _Command) -> _Command:
    """Add the arguments and options that `plan` and `start` share."""
    for option in (
        _reason,
        _minutes,
        _model_percent,
        _per_failure_domain,
        _addresses,
    ):
        command = option(command)
    return command


@click.group('drain')
def drain() -> None:
    """Plan and publish stops of hosts; show which are safe to stop."""


@drain.command('plan')
@_limit_options
@click.pass_obj
def plan(
    context: DrainContext,
    addresses: tuple[str, ...],
    per_failure_domain: int,
    model_percent: int,
    minutes: int,
    reason: str,
) -> None:
    """Print a plan of stops for ADDRESSES; publish nothing."""
    limits = _limits(per_failure_domain, model_percent, minutes)
    _run(_print_plan(context, addresses, limits, reason))


@drain.command('start')
@_limit_options
@click.pass_obj
def start(
    context: DrainContext,
    addresses: tuple[str, ...],
    per_failure_domain: int,
    model_percent: int,
    minutes: int,
    reason: str,
) -> None:
    """Publish stops for ADDRESSES, planned as by `plan`."""
    limits = _limits(per_failure_domain, model_percent, minutes)
    _run(_publish_plan(context, addresses, limits, reason))


@drain.command('status')
@click.argument('addresses', nargs=-1)
@click.pass_obj
def status(context: DrainContext, addresses: tuple[str, ...]) -> None:
    """Show whether hosts are safe to stop, and why not.

    Without ADDRESSES, shows the hosts of all published stops. The exit code
    is 1 if one of the hosts is not safe to stop.
    """
    verdicts = _run(_verdicts(context, addresses))
    for verdict in verdicts:
        click.echo(_describe(verdict))
    if not all(checked.safe for checked in verdicts):
        sys.exit(1)


COMMANDS: tuple[click.Command, ...] = (drain,)


def _limits(
    per_failure_domain: int,
    model_percent: int,
    minutes: int,
) -> DrainLimits:
    return DrainLimits(
        per_failure_domain=per_failure_domain,
        model_percent=model_percent,
        duration_ms=minutes * _MS_PER_MINUTE,
    )


def _run(
    action: Coroutine[Any, Any, tuple[DrainVerdict, ...]],
) -> tuple[DrainVerdict, ...]:
    try:
        return asyncio.run(action)
    except BergamotError as error:
        raise click.ClickException(str(error)) from error


async def _make_plan(
    context: DrainContext,
    version: PublishedVersion,
    addresses: tuple[str, ...],
    limits: DrainLimits,
    reason: str,
) -> DrainPlan:
    hosts = await context.host_list().hosts()
    targets = find_targets(version, hosts, addresses)
    now_ms = context.clock.calendar_ms()
    return plan_stops(version, targets, limits, now_ms, reason, hosts)


async def _print_plan(
    context: DrainContext,
    addresses: tuple[str, ...],
    limits: DrainLimits,
    reason: str,
) -> tuple[DrainVerdict, ...]:
    version = await context.read_version()
    drain_plan = await _make_plan(context, version, addresses, limits, reason)
    _print_stops(drain_plan.stops)
    return ()


async def _publish_plan(
    context: DrainContext,
    addresses: tuple[str, ...],
    limits: DrainLimits,
    reason: str,
) -> tuple[DrainVerdict, ...]:
    version = await context.read_version()
    drain_plan = await _make_plan(context, version, addresses, limits, reason)
    object_set = _with_stops(
        version.object_set, drain_plan.stops, context.clock.calendar_ms()
    )
    published_version = await context.publish(version.version, object_set)
    _print_stops(drain_plan.stops)
    click.echo(f'published as version {published_version}')
    return ()


def _with_stops(
    object_set: ObjectSet,
    added: tuple[Stop, ...],
    calendar_ms: int,
) -> ObjectSet:
    kept = tuple(
        stop for stop in object_set.stops if stop.deadline_ms > calendar_ms
    )
    return msgspec.structs.replace(object_set, stops=kept + added)


async def _verdicts(
    context: DrainContext,
    addresses: tuple[str, ...],
) -> tuple[DrainVerdict, ...]:
    if not addresses:
        version = await context.read_version()
        stops = version.object_set.stops
        addresses = tuple(dict.fromkeys(stop.address for stop in stops))
    now_ms = context.clock.calendar_ms()
    return await read_verdicts(context.table(), addresses, now_ms)


def _print_stops(stops: tuple[Stop, ...]) -> None:
    for stop in stops:
        click.echo(msgspec.json.encode(stop).decode())


def _describe(verdict: DrainVerdict) -> str:
    if verdict.safe:
        return f'{verdict.address}: safe to stop'
    return f'{verdict.address}: not safe: {"; ".join(verdict.reasons)}'
