"""Calls of plain services and their answers."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.version.objects import CallRule, Service

MAX_KEY_CHARACTERS = 200


@dataclass(frozen=True)
class CallRequest:
    """One call of a plain service.

    Parameters
    ----------
    service, team, key
        Together they identify the call; `key` may be empty if it is
        idempotent.
    method, path, headers, body
        HTTP request that is sent to the service.
    idempotent
        Whether the call may be repeated.
    agents
        Addresses of agents that may run it, best first.
    timeout_ms
        Time allowed for the service to answer.
    remaining_ms
        Time until the caller must have its final answer.
    key_lifetime_ms
        Time for which the key is remembered after the call has ended.
    first_send
        Whether the caller states that it never sent the key before; a refusal
        may then say `ran: no` even if the store does not answer.
    request_id, config_version
        Included in refusals.
    """

    service: str
    team: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    agents: tuple[str, ...]
    timeout_ms: float = 10_000
    remaining_ms: float = 30_000
    key_lifetime_ms: int = 86_400_000
    first_send: bool = False
    request_id: str = ''
    config_version: int = 0


@dataclass(frozen=True)
class CallAnswer:
    """Answer of the service.

    Parameters
    ----------
    status, headers, body
        HTTP response of the service.
    replayed
        Whether the answer is that of an earlier request with the key.
    key_lifetime_ms
        Time for which the key is remembered from now on; 0 without a key.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replayed: bool = False
    key_lifetime_ms: int = 0


def find_rule(service: Service, method: str, path: str) -> CallRule:
    """Return the rule for a call: the one with the longest matching prefix.

    A call that matches no rule is treated as not idempotent.
    """
    matching = [
        rule
        for rule in service.calls
        if rule.method == method and path.startswith(rule.path_prefix)
    ]
    if not matching:
        return CallRule(method, path, idempotent=False)
    return max(matching, key=_prefix_length)


def _prefix_length(rule: CallRule) -> int:
    return len(rule.path_prefix)
