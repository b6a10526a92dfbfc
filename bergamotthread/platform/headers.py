"""Header field names of the platform."""

from __future__ import annotations

from bergamotthread.request.relay.dialect import RelayHeaderNames

PLATFORM_DIALECT = RelayHeaderNames(
    request_id=b'bergamotthread-request-id',
    remaining_ms=b'bergamotthread-deadline-remaining',
    expected_instance=b'bergamotthread-expect-instance',
    team=b'bergamotthread-tenant',
    signature=b'bergamotthread-response-seal',
    not_run=b'bergamotthread-not-executed',
    token_counts=b'bergamotthread-token-counts',
    prompt_parts=b'bergamotthread-prompt-prefix',
    model=b'bergamotthread-model',
    copy_target=b'bergamotthread-kv-backup',
    copy_source=b'kv-from',
    leaving=b'server-leaving',
    origin=b'resumes',
    request_limit=b'server-limit',
    urgency=b'bergamotthread-request-urgency',
    length_hint=b'bergamotthread-length-hint',
    set_by_entry=frozenset(
        (
            b'bergamotthread-deadline-remaining',
            b'bergamotthread-expect-instance',
            b'bergamotthread-expect-version',
            b'bergamotthread-tenant',
            b'bergamotthread-hold',
            b'bergamotthread-pin-duration',
            b'bergamotthread-kv-backup',
            b'bergamotthread-kv-from',
            b'bergamotthread-request-urgency',
            b'bergamotthread-not-executed',
            b'kv-backup',
            b'kv-fetch',
            b'kv-from',
        ),
    ),
)
