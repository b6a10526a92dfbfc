"""What the poison guard says of one call, and what its attempts report."""

from __future__ import annotations

from bergamotthread.process.poison.verdicts import (
    PoisonVerdict,
    Quarantined,
    Suspect,
)
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.outcomes import (
    Answered,
    AttemptOutcome,
    Broken,
    StreamEnded,
)
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.refusals import RelayRefusal

# Retry-After of a request that waits for another sending of the same content;
# its outcome is known within a second.
TRIED_RETRY_AFTER_MS = 1000
QUARANTINED = 'quarantined'


class Suspicion:
    """Decides whether a call may be sent, and where it must not be."""

    def __init__(self, call: RelayedCall, parts: RelayParts) -> None:
        self._call = call
        self._parts = parts

    @property
    def is_tried(self) -> bool:
        """Return whether to wait for another sending of the same content."""
        match self._verdict():
            case Suspect(is_tried=is_tried):
                return is_tried
            case _:
                return False

    def refusal(self) -> RelayRefusal | None:
        """Return the refusal of a quarantined request, else None.

        It says that the request has not run, which is true only before its
        first attempt.
        """
        verdict = self._verdict()
        if not isinstance(verdict, Quarantined):
            return None
        limits = self._parts.crashes.guard.limits
        deaths_max = limits.counted_deaths_max
        cause = 'a request of this content'
        if verdict.is_part:
            deaths_max = limits.part_deaths_max
            cause = 'requests with a part of this prompt'
        return RelayRefusal(
            503,
            QUARANTINED,
            f'{verdict.deaths} upstreams crashed while they ran {cause}; '
            'it is not sent to another one',
            int(verdict.remaining_ms),
            {
                'deaths': verdict.deaths,
                'deaths_max': deaths_max,
                'remaining_ms': round(verdict.remaining_ms),
            },
        )

    def tried_refusal(self) -> RelayRefusal:
        """Return the refusal of a call that waited in vain, see `is_tried`."""
        return RelayRefusal(
            503,
            'suspect-tried',
            'upstreams crashed while they ran a request of this content; '
            'another sending of it shows whether it is the cause',
            TRIED_RETRY_AFTER_MS,
        )

    def excluded(self) -> frozenset[str]:
        """Return the upstreams at which a suspect call is not placed.

        They run other suspect requests: two suspects on one upstream would be
        charged with the same crash.
        """
        if not isinstance(self._verdict(), Suspect):
            return frozenset()
        guard = self._parts.crashes.guard
        return guard.agents_with_other_suspects(
            self._call.fingerprints.content_hash
        )

    def _verdict(self) -> PoisonVerdict:
        fingerprints = self._call.fingerprints
        return self._parts.crashes.guard.check(
            fingerprints.content_hash, fingerprints.part_hashes
        )


class TrackedAttempt:
    """Reports one attempt to the watch on crashes."""

    def __init__(
        self, call: RelayedCall, upstream: Upstream, parts: RelayParts
    ) -> None:
        self._call = call
        self._upstream = upstream
        self._crashes = parts.crashes
        self._clock = parts.clock
        self._run = ''
        self._is_open = False
        self._is_whole = True

    def start(self, *, is_whole: bool) -> None:
        """Report that the attempt was sent.

        Another attempt of the call at the same upstream has another name.

        Parameters
        ----------
        is_whole
            Whether it begins at the start of the request.
        """
        self._is_open = True
        self._is_whole = is_whole
        self._run = f'{self._call.request_label}@{self._clock.now_ms():.0f}'
        self._crashes.record_start(
            self._upstream,
            self._run,
            self._call.fingerprints,
            is_stream=self._call.route.is_stream,
        )

    def report_progress(self, progress_ms: float) -> None:
        """Report for how long the upstream has sent events; 0 at the head."""
        self._crashes.record_progress(self._upstream, self._run, progress_ms)

    def settle(self, outcome: AttemptOutcome) -> None:
        """Report the outcome of the attempt."""
        if not self._is_open:
            return
        self._is_open = False
        match outcome:
            case Broken():
                self._crashes.record_broken(self._upstream, self._run)
            case Answered() | StreamEnded():
                self._end(completed=True)
            case _:
                self._end(completed=False)

    def abandon(self) -> None:
        """Report an attempt that ends without an outcome."""
        if self._is_open:
            self._is_open = False
            self._end(completed=False)

    def _end(self, *, completed: bool) -> None:
        self._crashes.record_end(
            self._upstream,
            self._run,
            completed=completed,
            is_whole=self._is_whole,
        )
