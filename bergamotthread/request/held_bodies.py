"""Large answers that wait in memory for the object store."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ByteBudget:
    """Bytes that all calls of a process may hold together."""

    limit: int
    used: int = 0

    def take(self, count: int) -> bool:
        """Take `count` bytes, or nothing and return False."""
        if self.used + count > self.limit:
            return False
        self.used += count
        return True


@dataclass
class HeldBodies:
    """Large answers of one call by the names of their objects."""

    budget: ByteBudget
    by_name: dict[str, bytes] = field(default_factory=dict)
    _taken: int = 0

    def hold(self, name: str, body: bytes) -> bool:
        """Hold an answer until the end of the call.

        Returns False where the budget is used up; the answer is then held
        until `drop` only.
        """
        if name in self.by_name:
            return True
        self.by_name[name] = body
        granted = self.budget.take(len(body))
        if granted:
            self._taken += len(body)
        return granted

    def get(self, name: str) -> bytes | None:
        """Return an answer, or None where it is not held."""
        return self.by_name.get(name)

    def drop(self, name: str) -> None:
        """Hold an answer no longer, since its caller has it."""
        self.by_name.pop(name, None)

    def release(self) -> None:
        """Drop all answers and return their bytes to the budget."""
        self.by_name.clear()
        self.budget.used -= self._taken
        self._taken = 0
