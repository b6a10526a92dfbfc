"""Typed messages between entries and agents.

Messages are frozen `msgspec` structures, encoded as msgpack arrays with a tag,
so that `match` can distinguish them. New fields may only be added at the end,
with a default. Durations are relative, since processes do not share a clock.
"""

from __future__ import annotations

import enum

import msgspec

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
FENCING_TOKEN_HEADER = 'Fencing-Token'


class _Message(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
    gc=False,
):
    """Base of all messages."""


class Pin(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Model, version and adapter of every attempt of a generation."""

    model: str
    version: str
    adapter: str = ''


class EndReason(enum.StrEnum):
    """Reason why an attempt produces no more tokens."""

    STOP = 'stop'
    LENGTH = 'length'
    ENGINE_LOST = 'engine_lost'
    ENGINE_REFUSED = 'engine_refused'
    STALLED = 'stalled'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'
    HANDED_OVER = 'handed_over'


class EndMark(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """End of an attempt, with the number of tokens of the whole answer."""

    reason: EndReason
    count: int


class Frame(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Consecutive tokens of one attempt, starting at `offset`."""

    generation: str
    attempt: int
    offset: int
    tokens: tuple[str, ...]
    end: EndMark | None = None


class LoadReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load of one upstream as known to its agent; `age_ms` is its age.

    `prefill_tokens` counts the prompt tokens that wait for prefill or are being
    processed. `prefill_per_s` is the rate in tokens per second that the agent
    has observed, 0 if it has observed none.
    """

    running: int = 0
    queued: int = 0
    kv_tokens: int = 0
    kv_capacity: int = 0
    age_ms: float = 0
    draining: bool = False
    cached_prefixes: tuple[int, ...] = ()
    prefill_tokens: int = 0
    prefill_per_s: float = 0
    between_tokens_ms: float = 0


class Dispatch(_Message, frozen=True, array_like=True, tag=True):
    """Entry to agent: run one attempt that continues `accepted`.

    `suspect` marks a request whose upstreams died; an upstream runs at most one
    such request at a time.
    """

    generation: str
    attempt: int
    pin: Pin
    prompt: str
    accepted: tuple[str, ...]
    max_tokens: int
    remaining_ms: float
    team: str = ''
    priority: int = 0
    fingerprint: int = 0
    warm_only: bool = False
    config_version: int = 0
    suspect: bool = False


class Admitted(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: the attempt was sent to the upstream."""

    generation: str
    attempt: int


class Waiting(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: the attempt waits for capacity; nothing was sent."""

    generation: str
    attempt: int


class Declined(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: the attempt was not dispatched and never will be."""

    generation: str
    attempt: int
    reason: str
    retry_after_ms: int = 0


class Cancel(_Message, frozen=True, array_like=True, tag=True):
    """Entry to agent: stop an attempt and discard its output."""

    generation: str
    attempt: int


class Revoke(_Message, frozen=True, array_like=True, tag=True):
    """Entry to agent: never dispatch the attempt or call from now on."""

    generation: str
    attempt: int


class Revoked(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: whether any byte had reached the upstream."""

    generation: str
    attempt: int
    dispatched: bool


class Fetch(_Message, frozen=True, array_like=True, tag=True):
    """Entry to agent: send the sender the output from `offset` on."""

    generation: str
    attempt: int
    offset: int


class Missing(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: the agent does not hold the output of the attempt."""

    generation: str
    attempt: int


class Ack(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Offset up to which the caller has consumed the output."""

    generation: str
    attempt: int
    offset: int


class Acks(_Message, frozen=True, array_like=True, tag=True):
    """Entry to agent: combined acknowledgements, also used as heartbeat."""

    acks: tuple[Ack, ...]
    config_version: int = 0


class OutputBatch(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: all output since the last flush and the load."""

    frames: tuple[Frame, ...]
    load: LoadReport
    config_version: int = 0


class CallDispatch(_Message, frozen=True, array_like=True, tag=True):
    """Entry to agent: send one call to the plain service beside it.

    For a guarded call, `attempt` is the agent's ticket and `incarnation` that
    of the agent process that issued it. An idempotent call has incarnation 0.
    """

    call: str
    attempt: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_ms: float
    fence: int = 0
    key: str = ''
    incarnation: int = 0
    team: str = ''


class CallStatus(enum.StrEnum):
    """Outcome of a call as far as the agent knows it."""

    DONE = 'done'
    NOT_DISPATCHED = 'not_dispatched'
    UNKNOWN = 'unknown'


class CallReply(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: answer of a plain service or why there is none."""

    call: str
    attempt: int
    outcome: CallStatus
    reason: str = ''
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class ConfigNotice(_Message, frozen=True, array_like=True, tag=True):
    """Any to any: newest published version known to the sender.

    `document` is a `bergamotthread.version.record.Bundle` as JSON, empty if
    only the version number is sent. `nonce` is that of the answered request,
    0 if there is none. `proof_age_ms` is how long before the answer the table
    held no newer version, negative if that is unknown.
    """

    version: int
    document: bytes = b''
    nonce: int = 0
    proof_age_ms: float = -1


class ConfigRequest(_Message, frozen=True, array_like=True, tag=True):
    """Any to any: send the published version if it exceeds `version`."""

    version: int
    nonce: int = 0


class ConfigState(_Message, frozen=True, array_like=True, tag=True):
    """Any to entry: version in force at the sender, for `status`."""

    version: int
    region: str
    serving: bool


class MemberState(enum.StrEnum):
    """State of a member as the sender sees it."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One process in the member list."""

    address: str
    incarnation: int
    state: MemberState
    role: str
    region: str
    failure_domain: str


class Probe(_Message, frozen=True, array_like=True, tag=True):
    """Heartbeat that requests a `ProbeReply`, with recent member changes."""

    sequence: int
    members: tuple[Member, ...] = ()
    config_version: int = 0


class ProbeReply(_Message, frozen=True, array_like=True, tag=True):
    """Answer to a `Probe`, with recent member changes."""

    sequence: int
    members: tuple[Member, ...] = ()
    config_version: int = 0


class ProbeRequest(_Message, frozen=True, array_like=True, tag=True):
    """Entry to entry: probe `target` and forward its answer."""

    sequence: int
    target: str


class ShareRequest(_Message, frozen=True, array_like=True, tag=True):
    """Entry to home entry: demand of a team, in units per second."""

    team: str
    demand: float


class ShareGrant(_Message, frozen=True, array_like=True, tag=True):
    """Home entry to entry: leased share of a team's limit."""

    team: str
    share: float
    lease_ms: float


class ShareDemand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Wanted and held share of a limit at the sender, 0 to 1.

    `name` is that of the limit, such as the name of a team. Shares below
    `least` are worth a lease only if no more is wanted.
    """

    name: str
    wanted: float
    held: float
    least: float = 0


class GrantedShare(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Leased share of a limit, 0 to 1.

    `contended` is true if the requested shares exceed the limit.
    """

    name: str
    share: float
    contended: bool = False


class ShareRequests(_Message, frozen=True, array_like=True, tag=True):
    """Entry to home entry: demands for the limits of that home entry.

    The answer repeats `sequence`, so that the lease is counted from the time at
    which the request was sent.
    """

    sequence: int
    demands: tuple[ShareDemand, ...]


class ShareGrants(_Message, frozen=True, array_like=True, tag=True):
    """Home entry to entry: shares leased for `lease_ms` from the request."""

    sequence: int
    lease_ms: float
    shares: tuple[GrantedShare, ...]


class DrainNotice(_Message, frozen=True, array_like=True, tag=True):
    """Any to agent: start or stop draining the upstream beside it."""

    draining: bool
    reason: str
    deadline_ms: float


class Order(_Message, frozen=True, array_like=True, tag=True):
    """Lease holder to agent: order for the engine beside it.

    `number` increases with each order of the same fence.
    """

    order: str
    fence: int
    action: str
    pin: Pin
    region: str = ''
    number: int = 0


class OrderReply(_Message, frozen=True, array_like=True, tag=True):
    """Agent to lease holder: outcome of an order."""

    order: str
    fence: int
    accepted: bool
    reason: str = ''


class Quarantine(_Message, frozen=True, array_like=True, tag=True):
    """Entry to entry: deaths attributed to a request fingerprint."""

    fingerprint: int
    deaths: int
    confirmed: bool


class CallOffer(_Message, frozen=True, array_like=True, tag=True):
    """Entry to agent: request a ticket to dispatch one guarded call."""

    call: str


class CallOfferReply(_Message, frozen=True, array_like=True, tag=True):
    """Agent to entry: ticket for one dispatch or why there is none."""

    call: str
    ticket: int
    accepted: bool
    reason: str = ''
    retry_after_ms: int = 0


Message = (
    Dispatch
    | Admitted
    | Declined
    | Waiting
    | Cancel
    | Revoke
    | Revoked
    | Fetch
    | Missing
    | Acks
    | OutputBatch
    | CallDispatch
    | CallReply
    | ConfigNotice
    | ConfigRequest
    | ConfigState
    | Probe
    | ProbeReply
    | ProbeRequest
    | ShareRequest
    | ShareGrant
    | ShareRequests
    | ShareGrants
    | DrainNotice
    | Order
    | OrderReply
    | Quarantine
    | CallOffer
    | CallOfferReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Message and its sender; `incarnation` grows with each process start."""

    sender: str
    incarnation: int
    message: Message
