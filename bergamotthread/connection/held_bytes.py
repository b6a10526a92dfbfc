"""Bytes that a process holds for its callers, bounded by its memory.

Requests that are being read or answered, answers that are collected, and what
callers have not read yet are held for a caller each. Where they exceed the
bound, the caller that keeps the process waiting for longest with the most
bytes loses them; nobody beside it does.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Protocol

from bergamotthread.clock import Clock

# Fraction of a process's memory that may be held for callers. A request or an
# answer exists up to twice while it is joined or encoded, and the program
# itself takes half of the smallest machine.
HELD_MEMORY_FRACTION = 0.2

# Fraction of the limit that callers which are being sent their answers may hold
# while the answer that is collected for longest still goes on beyond the limit.
SENDING_FRACTION = 0.5
# A caller that has taken a part of what it is sent within this time reads. A
# lost packet on its link is sent again within about that.
READING_MS = 500


class Holder(Protocol):
    """A caller's connection, as seen by the bound."""

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes written for the caller that it has not taken."""

    def drop(self, reason: str) -> None:
        """End what keeps the process waiting for the caller."""


@dataclass(eq=False)
class HeldAccount:
    """Bytes that are held for one caller.

    Parameters
    ----------
    request_bytes
        Requests of the caller that are being read, wait or are answered.
    answer_bytes
        Answers that are collected or being sent to an upstream.
    unsent_bytes
        Written bytes that the caller had not taken at the last look.
    waits_since_ms
        Monotonic time since which the process waits for the caller to send
        the rest of a request or to read; None if it does not.
    """

    holder: Holder
    _held: HeldBytes
    request_bytes: int = 0
    answer_bytes: int = 0
    unsent_bytes: int = 0
    waits_since_ms: float | None = None
    _is_reading: bool = False

    @property
    def total_bytes(self) -> int:
        """Return all bytes that are held for the caller."""
        return self.request_bytes + self.answer_bytes + self.unsent_bytes

    def set_request(self, request_bytes: int, *, is_reading: bool) -> None:
        """Record the bytes of requests, and whether a rest is awaited."""
        self._held.total_bytes += request_bytes - self.request_bytes
        self.request_bytes = request_bytes
        self._is_reading = is_reading
        self._update_waiting()
        self._held.shed()

    def add_answer(self, answer_bytes: int) -> None:
        """Record further bytes of an answer, or of an attempt."""
        self._held.total_bytes += answer_bytes
        self.answer_bytes += answer_bytes
        self._held.note_collecting(self)
        self._held.shed()

    def release_answer(self) -> None:
        """Record that collected bytes were passed on or given up."""
        self._held.total_bytes -= self.answer_bytes
        self.answer_bytes = 0
        self._held.note_collecting(self)

    @property
    def is_at_fault(self) -> bool:
        """Return whether the process waits for the caller, beyond its link."""
        if self.waits_since_ms is None:
            return False
        waited_ms = self._held.clock.now_ms() - self.waits_since_ms
        return self._is_reading or waited_ms > READING_MS

    def look(self) -> None:
        """Read again what the caller has not taken yet."""
        unsent_bytes = self.holder.unsent_bytes
        if unsent_bytes < self.unsent_bytes:
            self.waits_since_ms = None
        self._held.total_bytes += unsent_bytes - self.unsent_bytes
        self.unsent_bytes = unsent_bytes
        self._update_waiting()
        self._held.note_unsent(self)

    def record_written(self, written_bytes: int) -> None:
        """Count bytes that were written for the caller."""
        self._held.written_bytes += written_bytes

    def close(self) -> None:
        """Release all that is held, because the connection has ended."""
        self._held.total_bytes -= self.total_bytes
        self.request_bytes = 0
        self.answer_bytes = 0
        self.unsent_bytes = 0
        self._held.forget(self)

    @property
    def has_room(self) -> bool:
        """Return whether more of an answer may be collected.

        The answer that is collected for longest may go on, so that not all wait
        for each other, unless callers that are being sent theirs hold too much.
        """
        held = self._held
        held.shed()
        return held.has_room or (
            held.is_first(self)
            and held.unsent_bytes < held.limit_bytes * SENDING_FRACTION
        )

    def _update_waiting(self) -> None:
        if not self._is_reading and not self.unsent_bytes:
            self.waits_since_ms = None
        elif self.waits_since_ms is None:
            self.waits_since_ms = self._held.clock.now_ms()
        self._held.note_waiting(self)


@dataclass
class HeldBytes:
    """All bytes that one process holds for callers.

    Parameters
    ----------
    limit_bytes
        Bytes beyond which callers that keep the process waiting are dropped;
        infinite for servers that only other processes call.
    dropped
        Number of callers that lost what was held for them.
    written_bytes
        Bytes written for callers since the start.
    """

    clock: Clock
    limit_bytes: float = math.inf
    total_bytes: int = 0
    dropped: int = 0
    written_bytes: int = 0
    _waiting: dict[HeldAccount, None] = field(default_factory=dict)
    _unsent: dict[HeldAccount, None] = field(default_factory=dict)
    _collecting: dict[HeldAccount, None] = field(default_factory=dict)

    @classmethod
    def from_memory(cls, clock: Clock, memory_bytes: float) -> HeldBytes:
        """Return the bound of a process that has so much memory."""
        return cls(clock, memory_bytes * HELD_MEMORY_FRACTION)

    def open(self, holder: Holder) -> HeldAccount:
        """Return the account of a caller that has connected."""
        return HeldAccount(holder, self)

    @property
    def has_room(self) -> bool:
        """Return whether the bound is not reached."""
        return self.total_bytes < self.limit_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that callers had not taken at the last look."""
        return sum(account.unsent_bytes for account in self._unsent)

    def shed(self) -> None:
        """Drop callers that keep the process waiting while over the bound."""
        if self.has_room:
            return
        for account in tuple(self._unsent):
            account.look()
        while not self.has_room:
            victim = self._victim()
            if victim is None:
                return
            self.dropped += 1
            victim.holder.drop(
                f'{self.total_bytes} bytes held for callers, '
                f'at most {self.limit_bytes:.0f}'
            )
            victim.close()

    def is_first(self, account: HeldAccount) -> bool:
        """Return whether an account's answer is collected for longest."""
        return next(iter(self._collecting), None) is account

    def note_waiting(self, account: HeldAccount) -> None:
        """Keep the account among those whose caller is awaited, or not."""
        _note(self._waiting, account, account.waits_since_ms is not None)

    def note_unsent(self, account: HeldAccount) -> None:
        """Keep the account among those with unsent bytes, or not."""
        _note(self._unsent, account, account.unsent_bytes > 0)

    def note_collecting(self, account: HeldAccount) -> None:
        """Keep the account among those that collect an answer, or not."""
        _note(self._collecting, account, account.answer_bytes > 0)

    def forget(self, account: HeldAccount) -> None:
        """Remove an account."""
        for accounts in (self._waiting, self._unsent, self._collecting):
            accounts.pop(account, None)

    def _victim(self) -> HeldAccount | None:
        """Return the caller that holds most bytes for longest, if any."""
        at_fault = (one for one in self._waiting if one.is_at_fault)
        return max(at_fault, key=self._blame, default=None)

    def _blame(self, account: HeldAccount) -> float:
        """Return byte-milliseconds for which the caller is responsible."""
        waits_since_ms = account.waits_since_ms
        if waits_since_ms is None:
            return 0
        waited_ms = self.clock.now_ms() - waits_since_ms
        return account.total_bytes * max(waited_ms, 1)


def _note(
    accounts: dict[HeldAccount, None], account: HeldAccount, is_in: bool
) -> None:
    if is_in:
        accounts.setdefault(account)
    else:
        accounts.pop(account, None)
