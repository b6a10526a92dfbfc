"""Names of header fields that entries exchange with callers and upstreams."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.connection.http.messages import Header, end_to_end

AUTHORIZATION = b'authorization'
RESUME_AFTER = b'last-event-id'
_IS_LEAVING = b'1'


@dataclass(frozen=True)
class RelayHeaderNames:
    """Names of header fields, in lower case.

    Parameters
    ----------
    request_id
        Identifier of one request of a caller, different for each retry of the
        caller; upstreams echo it.
    remaining_ms
        Time until the deadline, in milliseconds.
    expected_instance
        Identifier of the only incarnation that may run the request.
    team
        Team of the caller's key, sent to the upstream.
    signature
        Signature by which an upstream proves that the response is its own.
    not_run
        Present in a response if the upstream did not run the request.
    token_counts
        Tokens of the prompt and the largest number of tokens generated,
        separated by a comma.
    prompt_parts
        Parts of the prompt in order, as ``ID:TOKENS`` separated by commas;
        the last part belongs to the request or its session alone.
    model
        Model that the request is for.
    copy_target
        Address of the upstream to which the run's KV cache is copied.
    copy_source
        Copy from which a run resumes, as ``ADDRESS/NAME``. If the upstream
        sends the copy during the run, these are the holder's address and the
        request's identifier; if the entry had the copy made, the address of the
        upstream that ran the request and that upstream's name for the copy.
    leaving
        In all answers of an upstream that is leaving, with the value 1.
    origin
        In requests of callers that take a stream up: identifier of the request
        that brought its first event.
    request_limit
        In answers of an upstream in need: requests per second that it takes
        from all hosts together.
    urgency
        Position of the request among those that wait at the upstream; 0 for
        the first. Only the entry sets it.
    length_hint
        Tokens that the caller expects in the answer; it is often far off.
    set_by_entry
        Fields that only the entry sets; they are removed from callers'
        requests.
    """

    request_id: bytes
    remaining_ms: bytes
    expected_instance: bytes
    team: bytes
    signature: bytes
    not_run: bytes
    token_counts: bytes
    prompt_parts: bytes
    model: bytes
    copy_target: bytes
    copy_source: bytes
    leaving: bytes
    origin: bytes
    request_limit: bytes
    urgency: bytes
    length_hint: bytes
    set_by_entry: frozenset[bytes]

    def says_leaving(self, headers: Iterable[Header]) -> bool:
        """Return whether an answer says that its upstream is leaving.

        Any other value, or more than one field, says nothing.
        """
        stated = [text for name, text in headers if name == self.leaving]
        return stated == [_IS_LEAVING]

    def for_caller(self, headers: Iterable[Header]) -> list[Header]:
        """Return the fields of an upstream's answer that a caller gets."""
        for_entries = (self.leaving, self.request_limit)
        return [
            header
            for header in end_to_end(headers)
            if header[0] not in for_entries
        ]
