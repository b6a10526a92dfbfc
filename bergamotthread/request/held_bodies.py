"""Large answers, held in memory until they are in the object store."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ByteBudget:
    """Budget of bytes shared by all calls of a process."""

    limit_bytes: int
    used_bytes: int = 0

    def reserve(self, count: int) -> bool:
        """Reserve `count` bytes; return False if the budget is too small."""
        if self.used_bytes + count > self.limit_bytes:
            return False
        self.used_bytes += count
        return True


@dataclass
class HeldBodies:
    """Large answers of one call, by object name."""

    budget: ByteBudget
    by_name: dict[str, bytes] = field(default_factory=dict)
    _reserved_bytes: int = 0

    def hold(self, name: str, body: bytes) -> bool:
        """Hold an answer until the end of the call.

        Return False if it exceeds the budget; it is held nevertheless, and must
        be removed by `remove` as soon as it has been delivered.
        """
        if name in self.by_name:
            return True
        self.by_name[name] = body
        granted = self.budget.reserve(len(body))
        if granted:
            self._reserved_bytes += len(body)
        return granted

    def get(self, name: str) -> bytes | None:
        """Return an answer, or None if it is not held."""
        return self.by_name.get(name)

    def remove(self, name: str) -> None:
        """Remove an answer that its caller has received."""
        self.by_name.pop(name, None)

    def release(self) -> None:
        """Remove all answers and return their bytes to the budget."""
        self.by_name.clear()
        self.budget.used_bytes -= self._reserved_bytes
        self._reserved_bytes = 0
