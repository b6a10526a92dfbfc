"""Choice of the peers that a process asks for the published version."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterable

import xxhash

READERS_PER_GROUP = 3
MAX_PENDING_REQUESTS = 64
MAX_FANOUT = 8
_NONCE_BITS = 32


def rank_addresses(addresses: Iterable[str]) -> tuple[str, ...]:
    """Return addresses in an order that all processes agree on.

    They are sorted by hash (rendezvous hashing with one key), so that a
    process that joins or leaves does not change the order of the others.
    """
    return tuple(sorted(set(addresses), key=_hash))


def is_reader(address: str, peers: Iterable[str]) -> bool:
    """Return whether the process at `address` reads the table for its group."""
    ranked = rank_addresses((*peers, address))
    return address in ranked[:READERS_PER_GROUP]


class SourceChoice:
    """Chooses peers to ask, and more of them the longer none answers.

    One of the readers is always asked; other peers are asked as well only
    while no answer arrives.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader_index = _hash(address) % READERS_PER_GROUP
        self._next_other_index = 0
        self._unanswered_rounds = 0

    def choose(self, peers: Iterable[str], *, max_fanout: int) -> list[str]:
        """Return the peers to ask now."""
        ranked = rank_addresses(peers)
        candidates = [address for address in ranked if address != self._address]
        if not candidates:
            return []
        if self._unanswered_rounds:
            self._reader_index += 1
        readers = candidates[:READERS_PER_GROUP]
        fanout = min(1 << self._unanswered_rounds, max_fanout)
        self._unanswered_rounds = min(self._unanswered_rounds + 1, MAX_FANOUT)
        others = self._choose_others(candidates[len(readers) :], fanout - 1)
        return [readers[self._reader_index % len(readers)], *others]

    def record_answer(self) -> None:
        """Record that a peer sent a proof that is recent enough."""
        self._unanswered_rounds = 0

    def _choose_others(self, candidates: list[str], count: int) -> list[str]:
        count = min(count, len(candidates))
        if not count:
            return []
        first = self._next_other_index % len(candidates)
        self._next_other_index += count
        return (candidates * 2)[first : first + count]


class PendingRequests:
    """Send times of requests, by nonce."""

    def __init__(self, incarnation: int) -> None:
        first = (incarnation % (1 << _NONCE_BITS - 1)) << _NONCE_BITS - 1
        self._nonces = itertools.count(first + 1)
        self._sent_ms_by_nonce: OrderedDict[int, float] = OrderedDict()

    def add(self, now_ms: float) -> int:
        """Return the nonce of a request that is sent now."""
        nonce = next(self._nonces)
        self._sent_ms_by_nonce[nonce] = now_ms
        if len(self._sent_ms_by_nonce) > MAX_PENDING_REQUESTS:
            self._sent_ms_by_nonce.popitem(last=False)
        return nonce

    def sent_ms(self, nonce: int) -> float | None:
        """Return the time the request was sent, or None if not known."""
        return self._sent_ms_by_nonce.get(nonce)


def _hash(address: str) -> int:
    return xxhash.xxh64_intdigest(address.encode())
