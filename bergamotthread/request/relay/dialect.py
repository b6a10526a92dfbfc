"""Header fields by which callers, entries and upstreams tell their part."""

from __future__ import annotations

from dataclasses import dataclass

AUTHORIZATION = b'authorization'
RESUME_AFTER = b'last-event-id'


@dataclass(frozen=True)
class RelayDialect:
    """Names of header fields, in lower case.

    Parameters
    ----------
    request_id
        Identifier of one try of a caller; upstreams echo it.
    remaining_ms
        Time that the caller, or the upstream, has left.
    expected_instance
        Incarnation that alone may run the request.
    team
        Team of the caller's key, for the upstream.
    signature
        Proof of an upstream that the answer is its own.
    not_run
        Present in an answer that says the upstream did not run the request.
    token_counts
        Tokens of the prompt and the largest number of tokens generated,
        separated by a comma.
    prompt_parts
        Parts of the prompt in order, as ``ID:TOKENS`` separated by commas;
        the last is the request's or its session's own.
    copy_target
        Address of the upstream to which the run's memory is copied.
    copy_source
        Copy from which a run goes on: address, a slash, and its name.
    set_by_entry
        Fields that callers may not set.
    """

    request_id: bytes
    remaining_ms: bytes
    expected_instance: bytes
    team: bytes
    signature: bytes
    not_run: bytes
    token_counts: bytes
    prompt_parts: bytes
    copy_target: bytes
    copy_source: bytes
    set_by_entry: frozenset[bytes]
