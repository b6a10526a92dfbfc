"""The published version that a process holds and may admit requests by."""

from __future__ import annotations

from bergamotthread.request.refusal import Refusal
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope


class VersionHolder:
    """Holds the newest published version known to this process."""

    def __init__(self, current: PublishedVersion | None = None) -> None:
        self.current = current
        self._refusal: Refusal | None = None

    @classmethod
    def from_object_set(
        cls,
        object_set: ObjectSet,
        version: int = 1,
    ) -> VersionHolder:
        """Return a holder of one fixed set, for tests and demonstrations."""
        return cls(PublishedVersion.from_object_set(version, object_set))

    def may_admit(self) -> Refusal | None:
        """Return None, or the refusal that a new request is answered with."""
        return self._refusal

    def on_message(self, envelope: Envelope) -> None:
        """Take in a message from a peer."""

    async def wait_serving(self) -> PublishedVersion:
        """Return the current version once requests may be admitted."""
        assert self.current is not None
        return self.current
