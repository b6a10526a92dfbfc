"""Decoders of the runners' registration rows and load reports."""

from __future__ import annotations

import ipaddress

import msgspec
from absl import logging

from bergamotthread.platform.numbers import Count, Number
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RunProgress,
    UpstreamRecord,
    UpstreamState,
)

# Tokens of a typical prompt, from the users' data sheets.
TYPICAL_PROMPT_TOKENS = 8200
PORT_MAX = 65_535


class _Row(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    slots: Count = 0
    born: Count = 0
    # Of the software; the weights have versions of their own.
    version: str = ''


class _Report(msgspec.Struct, frozen=True):
    queue_depth: Count = 0
    in_flight: Count = 0
    kv_used: Count = 0
    kv_total: Count = 0
    handles: Count = 0
    runs: tuple[tuple[str, Count, Count, Number], ...] = ()
    born: Count = 0


def decode_runner(instance: str, encoded: bytes) -> UpstreamRecord | None:
    """Decode a runner's row; return None if it describes no upstream.

    Other writers' rows may lack fields or have fields of other types.
    """
    try:
        row = msgspec.json.decode(encoded, type=_Row)
        state = UpstreamState(row.state)
        _check_address(row.address)
    except (msgspec.MsgspecError, ValueError) as error:
        logging.debug(
            'row of %s cannot be decoded as a runner: %s', instance, error
        )
        return None
    if not row.service:
        return None
    return UpstreamRecord(
        instance=instance,
        service=row.service,
        address=row.address,
        failure_domain=row.zone,
        state=state,
        slots=row.slots,
        started_ms=row.born,
        build=row.version,
    )


def _check_address(address: str) -> None:
    """Check that an address has an IP number and a port; names are not asked.

    Raises
    ------
    ValueError
        If it has not.
    """
    host, _, port = address.rpartition(':')
    ipaddress.ip_address(host)
    is_number = port.isascii() and port.isdecimal()
    if not is_number or not 0 < int(port) <= PORT_MAX:
        raise ValueError(f'port {port!r}, expected 1 to {PORT_MAX}')


def decode_report(encoded: bytes, at_ms: float) -> LoadReport | None:
    """Decode an upstream's load report; return None if it is invalid.

    The report lists only the runs that have produced an event. The other runs
    in flight are still reading their prompts. These prompts take the rest of
    the used KV cache, unless it also holds copies of other upstreams' runs.

    Parameters
    ----------
    at_ms
        Monotonic time at which the report arrived.
    """
    try:
        report = msgspec.json.decode(encoded, type=_Report)
    except msgspec.MsgspecError as error:
        logging.debug('load report is invalid: %s', error)
        return None
    return LoadReport(
        queued=report.queue_depth,
        running=report.in_flight,
        kv_used=report.kv_used,
        kv_total=report.kv_total,
        at_ms=at_ms,
        unread_tokens=_unread_tokens(report),
        waiting_tokens=report.queue_depth * TYPICAL_PROMPT_TOKENS,
        runs=tuple(
            RunProgress(run, tokens, events, urgency)
            for run, tokens, events, urgency in report.runs
        ),
        copies=report.handles,
        started_ms=report.born,
    )


def _unread_tokens(report: _Report) -> int:
    prefilling_runs = max(report.in_flight - len(report.runs), 0)
    unread_tokens = prefilling_runs * TYPICAL_PROMPT_TOKENS
    if not report.handles:
        running_tokens = sum(tokens for _, tokens, *_ in report.runs)
        unread_tokens = min(
            max(report.kv_used - running_tokens, 0), unread_tokens * 2
        )
    return unread_tokens + report.queue_depth * TYPICAL_PROMPT_TOKENS
