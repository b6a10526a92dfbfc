"""Rows by which runners register themselves, and their load reports."""

from __future__ import annotations

import msgspec
from absl import logging

from bergamotthread.process.relay.upstreams import (
    LoadReport,
    UpstreamRecord,
    UpstreamState,
)

# Tokens of a usual prompt (the sheets).
UNREAD_TOKENS = 8200


class _Row(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    born: int = 0


class _Report(msgspec.Struct, frozen=True):
    queue_depth: int = 0
    in_flight: int = 0
    kv_used: int = 0
    kv_total: int = 0
    handles: int = 0
    runs: tuple[tuple[str, int, int, int], ...] = ()


def decode_runner(instance: str, encoded: bytes) -> UpstreamRecord | None:
    """Return the upstream that a row names, or none.

    Rows of other writers may lack fields or have other types; they name no
    upstream.
    """
    try:
        row = msgspec.json.decode(encoded, type=_Row)
        state = UpstreamState(row.state)
    except (msgspec.MsgspecError, ValueError) as error:
        logging.debug('row of %s names no upstream: %s', instance, error)
        return None
    if ':' not in row.address or not row.service:
        return None
    return UpstreamRecord(
        instance=instance,
        service=row.service,
        address=row.address,
        failure_domain=row.zone,
        state=state,
        slots=row.slots,
        born_ms=row.born,
    )


def decode_report(encoded: bytes, at_ms: float) -> LoadReport | None:
    """Return the load that an upstream reported, or none if unreadable.

    Only runs with events are listed; the others in flight read their prompts,
    which take the rest of the memory unless copies for others are in it.
    """
    try:
        report = msgspec.json.decode(encoded, type=_Report)
    except msgspec.MsgspecError as error:
        logging.debug('load report is unreadable: %s', error)
        return None
    return LoadReport(
        queued=report.queue_depth,
        running=report.in_flight,
        kv_used=report.kv_used,
        kv_total=report.kv_total,
        at_ms=at_ms,
        unread_tokens=_unread_tokens(report),
    )


def _unread_tokens(report: _Report) -> int:
    reading = max(report.in_flight - len(report.runs), 0)
    unread = reading * UNREAD_TOKENS
    if not report.handles:
        running = sum(tokens for _, tokens, *_ in report.runs)
        unread = min(max(report.kv_used - running, 0), unread * 2)
    return unread + report.queue_depth * UNREAD_TOKENS
