"""Interface to what all entries know of the builds of streams."""

from __future__ import annotations

import abc

from bergamotthread.process.relay.stream_builds import (
    KnownBuild,
    StreamBuilds,
)


class BuildSource(abc.ABC):
    """Tells other entries at which builds streams began, and asks them."""

    builds: StreamBuilds

    @abc.abstractmethod
    def tell(self, service: str, stream: int, build: str) -> None:
        """Tell other entries of a stream that begins here."""

    @abc.abstractmethod
    async def find(self, service: str, stream: int) -> KnownBuild | None:
        """Return the build at which a stream began, or None if unknown.

        Parameters
        ----------
        stream
            Hash of the request that began the stream, or of the content of the
            stream's requests.
        """
