"""What an upstream's prompt cache is expected to save a prompt.

A cached beginning saves the prefill of its tokens, as long as it isn't evicted:
the least recently used parts yield to new prompts. Shared parts are short and
cached nearly everywhere; the last part of a prompt, which is its own, is long
and cached only if its caller came before. The entry knows where it sent the
prompts of its own callers. Where others sent theirs it can only expect: all
entries rank the upstreams for a prompt alike.
"""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.copy_room import PromptMemory
from bergamotthread.process.relay.pauses import Incarnation
from bergamotthread.process.relay.upstreams import Upstream

# Prompts that an entry remembers; the least recently used are forgotten.
PROMPTS_KEPT = 4096
# Streams that count before the first one of a service: one in five of them is
# taken to be of a caller that came before.
_FIRST_STREAMS = 10
_FIRST_RETURNS = 2
# Weight of the newest stream once many were seen.
RETURN_WEIGHT = 0.02


@dataclass(frozen=True, slots=True)
class KeptPrompt:
    """Where a prompt was last prefilled, and when."""

    incarnation: Incarnation
    tokens: int
    used_ms: float


@dataclass
class ReturningCallers:
    """Share of the streams whose caller came before, and after what time."""

    share: float = _FIRST_RETURNS / _FIRST_STREAMS
    after_ms: float = 0
    _streams: int = _FIRST_STREAMS
    _returns: int = 0

    def record(self, after_ms: float | None) -> None:
        """Record a stream; `after_ms` is None for a new caller's."""
        self._streams += 1
        weight = max(1 / self._streams, RETURN_WEIGHT)
        is_return = after_ms is not None
        self.share += weight * (is_return - self.share)
        if after_ms is not None:
            self._returns += 1
            weight = max(1 / self._returns, RETURN_WEIGHT)
            self.after_ms += weight * (after_ms - self.after_ms)


@dataclass
class KeptPrompts:
    """Prompts that this entry sent, by service and key."""

    clock: Clock
    _prompt_by_key: OrderedDict[tuple[str, bytes], KeptPrompt] = field(
        default_factory=OrderedDict
    )
    _callers_by_service: defaultdict[str, ReturningCallers] = field(
        default_factory=lambda: defaultdict(ReturningCallers)
    )

    def record(
        self, upstream: Upstream, key: bytes, tokens: int, *, is_new: bool
    ) -> None:
        """Record that an upstream has prefilled a prompt.

        Parameters
        ----------
        is_new
            Whether for a new stream. One that goes on after a loss says nothing
            about callers that return.
        """
        if not key:
            return
        service = upstream.record.service
        now_ms = self.clock.now_ms()
        former = self._prompt_by_key.pop((service, key), None)
        if is_new:
            self._callers_by_service[service].record(
                None if former is None else now_ms - former.used_ms
            )
        self._prompt_by_key[service, key] = KeptPrompt(
            upstream.record.incarnation, tokens, now_ms
        )
        if len(self._prompt_by_key) > PROMPTS_KEPT:
            self._prompt_by_key.popitem(last=False)

    def cached_tokens(
        self, upstream: Upstream, key: bytes, outputs: RunStatistics
    ) -> float:
        """Return the tokens of a prompt that an upstream is expected to cache.

        0 if the entry doesn't know of the prompt.
        """
        service = upstream.record.service
        kept = self._prompt_by_key.get((service, key))
        if kept is None or kept.incarnation != upstream.record.incarnation:
            return 0
        age_ms = self.clock.now_ms() - kept.used_ms
        return kept.tokens * kept_share(upstream, outputs, age_ms)

    def expected_share(
        self, upstream: Upstream, key: bytes, outputs: RunStatistics
    ) -> float:
        """Return the part of a prompt that an upstream may cache unknown to us.

        Other entries send the prompts of callers that return to the upstream
        that the affinity prefers.
        """
        service = upstream.record.service
        if (service, key) in self._prompt_by_key:
            return 0
        callers = self._callers_by_service[service]
        return callers.share * kept_share(upstream, outputs, callers.after_ms)


def kept_share(
    upstream: Upstream, outputs: RunStatistics, age_ms: float
) -> float:
    """Return how likely a prompt is still cached after a time.

    Cached parts take the memory that no run holds. New prompts fill it at the
    rate at which the engine's prompts come and go; a late report is as old in
    addition.
    """
    report = upstream.report
    if report is None:
        return 0
    free_tokens = report.kv_total - report.kv_used
    if free_tokens <= 0:
        return 0
    run_ms = max(outputs.run_ms, 1)
    filled_per_ms = PromptMemory.at(upstream, outputs).tokens / run_ms
    return math.exp(-age_ms * filled_per_ms / free_tokens)
