"""Build to which one stream is bound."""

from __future__ import annotations

from bergamotthread.process.relay.stream_builds import (
    OWN,
    stream_key,
)
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.refusals import RelayRefusal

# Retry-After where the build of a stream isn't known, or none of its upstreams
# is left. Other entries may know more, and an upstream may be started anew.
BUILD_RETRY_AFTER_MS = 1000


class StreamBuild:
    """Binds a stream to the build that makes its first event.

    What two builds write doesn't fit together, and upstreams don't check it.

    Parameters
    ----------
    build
        Build to which the stream is bound; None before its first event.
    """

    def __init__(self, call: RelayedCall, parts: RelayParts) -> None:
        self.build: str | None = None
        self._call = call
        self._parts = parts

    async def take_up(self) -> RelayRefusal | None:
        """Find the build of a stream that its caller takes up again.

        Returns
        -------
        RelayRefusal or None
            A refusal if the stream can't go on here.
        """
        call = self._call
        if call.resume_after is None and not call.origin:
            return None
        service = call.service.name
        origin = call.origin.decode('latin-1')
        known = await self._parts.builds.find(service, self._key())
        if known is None:
            return self._refuse(
                'build-unknown',
                'no entry knows at which build of its upstream the stream '
                f'of request {origin!r} began',
            )
        self.build = known.build
        self._parts.log.write(
            'stream-taken-up',
            request=call.request_label,
            origin=origin,
            build=known.build,
            known_from=known.source,
            builds_offered=' '.join(
                sorted(self._parts.directory.accepting_builds(service))
            ),
            last_event=call.resume_after,
        )
        return self.gone_refusal()

    def gone_refusal(self) -> RelayRefusal | None:
        """Return a refusal if the stream can't go on at its build."""
        directory = self._parts.directory
        service = self._call.service.name
        if self.build is None:
            return None
        if directory.lacks_build(service, self.build):
            reason = 'no upstream of it is left'
        elif self._parts.rollouts.has_withdrawn(service, self.build):
            reason = 'a roll-out has withdrawn it'
        else:
            return None
        offered = ' '.join(sorted(directory.accepting_builds(service)))
        return self._refuse(
            'build-gone',
            f'the stream began at build {self.build!r}, and {reason}; builds '
            f'offered: {offered or "none"}',
        )

    def record_event(self, upstream: Upstream) -> None:
        """Bind the stream to the build of its first event."""
        if self.build is not None:
            return
        call = self._call
        self.build = upstream.record.build
        if call.route.repeatability.may_retry:
            self._record(stream_key(call.request_id), self.build)
            self._record(call.fingerprints.content_hash, self.build)

    def _key(self) -> int:
        """Return the hash of the request that began the stream, or its content.

        Callers that do not name that request send the same content in each try;
        others may send it too.
        """
        call = self._call
        if call.origin:
            return stream_key(call.origin)
        return call.fingerprints.content_hash

    def _record(self, stream: int, build: str) -> None:
        source = self._parts.builds
        source.builds.record(stream, build, OWN)
        source.tell(self._call.service.name, stream, build)

    def _refuse(self, reason: str, detail: str) -> RelayRefusal:
        return RelayRefusal(503, reason, detail, BUILD_RETRY_AFTER_MS)
