"""Row of a call that may run at most once, and its transitions.

A row changes state only by compare-and-set:

    reserved -> dispatched -> done | unknown
    reserved -> refused
    refused -> reserved
    reserved -> reserved, by another request once the lease has expired
    unknown -> done | resolved
    dispatched | unknown -> refused, if the upstream's agent has confirmed
    that it never sent the call and never will

All functions here are pure; `bergamotthread.request.call_protocol` uses them.
"""

from __future__ import annotations

from urllib.parse import quote

import msgspec
import xxhash

from bergamotthread.errors import DecodeError, Step

CALL_PREFIX = 'calls/'
UNKNOWN_PREFIX = 'calls-unknown/'


class _State(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of row states."""


class Reserved(_State, frozen=True, array_like=True, tag=True):
    """`owner` may move the row to dispatched; nothing has been sent."""

    owner: str
    lease_until_ms: int


class Sending(msgspec.Struct, frozen=True, array_like=True):
    """The only sending of a call: its owner and the agent process used.

    `ticket` was issued by the agent's process `incarnation`, which sends a call
    only with a valid ticket.
    """

    owner: str
    agent: str
    incarnation: int
    ticket: int


class Dispatched(_State, frozen=True, array_like=True, tag=True):
    """The call may have been sent, by the owner and agent in `sending`."""

    sending: Sending
    lease_until_ms: int


class Done(_State, frozen=True, array_like=True, tag=True):
    """The call has run; its answer is inline or in the object `stored_as`.

    `omitted` is true if the answer was not stored, because it was too large or
    exceeded the budget for answers held in memory.
    """

    sending: Sending
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    stored_as: str = ''
    omitted: bool = False


class Unknown(_State, frozen=True, array_like=True, tag=True):
    """The call may have run; its answer did not arrive."""

    sending: Sending
    reason: str = ''


class Refused(_State, frozen=True, array_like=True, tag=True):
    """No earlier sending of this key has reached an upstream or ever will."""

    owner: str
    reason: str = ''


class Resolved(_State, frozen=True, array_like=True, tag=True):
    """An operator found out whether the call ran."""

    ran: bool
    who: str
    note: str = ''


State = Reserved | Dispatched | Done | Unknown | Refused | Resolved


class CallRow(msgspec.Struct, frozen=True, array_like=True):
    """Row that the table holds for one key.

    Parameters
    ----------
    fingerprint
        Digest of method, path and body; a key belongs to one digest only.
    fence
        Fencing token; increases with each reservation.
    write_id
        Identifies the write that produced this row.
    state
        State of the call.
    changed_ms
        Calendar time of the write.
    lifetime_ms
        Time after `changed_ms` for which the row must be kept.
    """

    fingerprint: str
    fence: int
    write_id: str
    state: State
    changed_ms: int = 0
    lifetime_ms: int = 0


class Claim(msgspec.Struct, frozen=True):
    """One request's claim on a key.

    Parameters
    ----------
    owner
        Unique among all requests of all processes.
    fingerprint
        Digest of method, path and body.
    lease_ms
        Time for which other requests do not take over a reserved or dispatched
        row.
    lifetime_ms
        Key lifetime of the service.
    first_send
        Whether the caller states that it never used the key before.
    """

    owner: str
    fingerprint: str
    lease_ms: int = 0
    lifetime_ms: int = 0
    first_send: bool = False


def row_key(service: str, team: str, key: str) -> str:
    """Return the table key of a call.

    The key starts with a digest, so that rows are spread evenly over short
    prefixes, which the cleaner scans one after another.
    """
    parts = (service, team, key)
    name = '/'.join([quote(part, safe='') for part in parts])
    digest = xxhash.xxh3_64_hexdigest(name.encode())
    return f'{CALL_PREFIX}{digest}/{name}'


def unknown_key(key: str) -> str:
    """Return the key of the index row of a call whose outcome is unknown."""
    return UNKNOWN_PREFIX + key.removeprefix(CALL_PREFIX)


def result_name(sending: Sending) -> str:
    """Return the name of the object that holds a large answer."""
    return f'call-results/{sending.owner}/{sending.ticket}'


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """Return the digest of a call's method, path and body."""
    digest = xxhash.xxh3_128(method.encode())
    for part in (path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def encode_row(row: CallRow) -> bytes:
    """Encode a row for the table."""
    return msgspec.msgpack.encode(row)


def decode_row(body: bytes) -> CallRow:
    """Decode a row from the table.

    Raises
    ------
    DecodeError
        If the bytes are not a row.
    """
    try:
        return msgspec.msgpack.decode(body, type=CallRow)
    except msgspec.MsgspecError as error:
        raise DecodeError(
            f'not a call row: {error}', step=Step.STORE
        ) from error


def lease_until_ms(row: CallRow) -> int:
    """Return the calendar time at which the row's lease ends, 0 without one."""
    if isinstance(row.state, Reserved | Dispatched):
        return row.state.lease_until_ms
    return 0


def open_sending(row: CallRow | None) -> Sending | None:
    """Return the sending whose outcome is not known, or None."""
    if row is not None and isinstance(row.state, Dispatched | Unknown):
        return row.state.sending
    return None


def reserve(row: CallRow | None, claim: Claim, now_ms: int) -> CallRow:
    """Return the row as reserved by `claim`, in place of `row` if any."""
    fence = row.fence + 1 if row else 1
    return CallRow(
        claim.fingerprint,
        fence,
        f'{claim.owner}/reserve/{fence}',
        Reserved(claim.owner, now_ms + claim.lease_ms),
        now_ms,
        claim.lifetime_ms,
    )


def dispatch(
    row: CallRow,
    claim: Claim,
    sending: Sending,
    now_ms: int,
) -> CallRow:
    """Return a row reserved by `claim` as dispatched."""
    return msgspec.structs.replace(
        row,
        write_id=f'{claim.owner}/dispatch/{row.fence}',
        state=Dispatched(sending, now_ms + claim.lease_ms),
        changed_ms=now_ms,
    )


def settle(
    row: CallRow, target_state: State, owner: str, now_ms: int
) -> CallRow | None:
    """Return the row in the state `target_state`, or None if not allowed.

    Parameters
    ----------
    row
        Row as last read.
    target_state
        Done or unknown with the row's sending, or refused with its owner.
    owner
        Request that writes the row.
    now_ms
        Calendar time.
    """
    if not _may_settle(row.state, target_state):
        return None
    return msgspec.structs.replace(
        row,
        write_id=f'{owner}/{type(target_state).__name__}/{row.fence}',
        state=target_state,
        changed_ms=now_ms,
    )


def resolve(row: CallRow, resolved: Resolved, now_ms: int) -> CallRow | None:
    """Return an unknown row as resolved, or None if it is not unknown."""
    if not isinstance(row.state, Unknown):
        return None
    return msgspec.structs.replace(
        row,
        write_id=f'{resolved.who}/resolve/{row.fence}',
        state=resolved,
        changed_ms=now_ms,
    )


def is_expired(row: CallRow, now_ms: int) -> bool:
    """Return whether the row may be deleted.

    Dispatched rows must become unknown first, and unknown rows are kept until
    they are resolved.
    """
    if isinstance(row.state, Dispatched | Unknown):
        return False
    return now_ms > row.changed_ms + row.lifetime_ms


def _may_settle(state: State, target_state: State) -> bool:
    match (state, target_state):
        case (Reserved(owner=owner), Refused(owner=refused_by)):
            return owner == refused_by
        case (Dispatched(sending=sending), Refused(owner=refused_by)):
            return sending.owner == refused_by
        case (Unknown(sending=sending), Refused(owner=refused_by)):
            return sending.owner == refused_by
        case (Dispatched(sending=sending), Done() | Unknown()):
            return sending == target_state.sending
        case (Unknown(sending=sending), Done()):
            return sending == target_state.sending
    return False
