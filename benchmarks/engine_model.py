"""Queueing model of an engine with continuous batching and a prefix cache.

Each step decodes one token of every sequence whose prefill is complete, and
computes a prefill chunk of each other sequence. The duration of a step grows
with the KV cache tokens that it reads and the prefill tokens that it computes.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from benchmarks.workload import BLOCK_TOKENS, TEAMS, Job, draw_job

STEP_MS = 16
KV_MS_PER_TOKEN = 0.00025
PREFILL_TOKENS_PER_MS = 16
CHUNK_TOKENS = 192
STEP_PREFILL_TOKENS = 1536
KV_CAPACITY = 48_000
CACHE_BLOCKS = 160
MAX_RUNNING = 8
_MS_PER_S = 1000


@dataclass
class Sequence:
    """One attempt that runs on the engine."""

    job: Job
    attempt: int
    accepted: int
    prefill_left: int
    produced: int = 0

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache tokens of this sequence."""
        return self.job.prompt_tokens + self.accepted + self.produced

    @property
    def is_done(self) -> bool:
        """Return whether the whole output has been produced."""
        return self.accepted + self.produced >= self.job.output_tokens


@dataclass
class Engine:
    """State of one engine, whose steps take `slowdown` times as long."""

    slowdown: float = 1
    by_key: dict[tuple[str, int], Sequence] = field(default_factory=dict)
    cached: OrderedDict[int, None] = field(default_factory=OrderedDict)
    cache_events: list[int] = field(default_factory=list)
    prefilled_tokens: int = 0

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache tokens of all sequences."""
        return sum(sequence.kv_tokens for sequence in self.by_key.values())

    def covered_tokens(self, job: Job) -> int:
        """Return how many leading prompt tokens the prefix cache covers."""
        for count in range(len(job.prefix_hashes), 0, -1):
            if job.prefix_hashes[count - 1] in self.cached:
                return min(count * BLOCK_TOKENS, job.prompt_tokens)
        return 0

    def add(self, attempt: int, job: Job, accepted: int) -> Sequence:
        """Start an attempt."""
        uncovered = job.prompt_tokens + accepted - self.covered_tokens(job)
        sequence = Sequence(job, attempt, accepted, max(uncovered, 1))
        self.prefilled_tokens += sequence.prefill_left
        self.by_key[job.generation, attempt] = sequence
        return sequence

    def step(self) -> tuple[float, tuple[Sequence, ...]]:
        """Run one step.

        Returns its duration in ms and the sequences that produced a token.
        """
        chunk_total = 0
        decoded: list[Sequence] = []
        for sequence in self.by_key.values():
            if not sequence.prefill_left:
                decoded.append(sequence)
                continue
            room = min(CHUNK_TOKENS, STEP_PREFILL_TOKENS - chunk_total)
            chunk = min(sequence.prefill_left, room)
            chunk_total += chunk
            sequence.prefill_left -= chunk
            if not sequence.prefill_left:
                decoded.append(sequence)
                self._cache(sequence.job)
        for sequence in decoded:
            sequence.produced += 1
        duration_ms = STEP_MS + KV_MS_PER_TOKEN * self.kv_tokens
        duration_ms += chunk_total / PREFILL_TOKENS_PER_MS
        return duration_ms * self.slowdown, tuple(decoded)

    def _cache(self, job: Job) -> None:
        self.cache_events.extend(job.prefix_hashes)
        for prefix_hash in job.prefix_hashes:
            self.cached[prefix_hash] = None
            self.cached.move_to_end(prefix_hash)
        while len(self.cached) > CACHE_BLOCKS:
            self.cached.popitem(last=False)


def saturated_per_s(duration_ms: float = 300_000) -> float:
    """Return the requests per second that an engine serves with full slots.

    The prefix cache is kept empty. Loads of the fleet are fractions of this
    rate, so that provisioning does not rely on cache hits.
    """
    draw = random.Random(1)
    engine = Engine()
    now_ms = float(0)
    serial = 0
    while now_ms < duration_ms:
        while len(engine.by_key) < MAX_RUNNING:
            serial += 1
            engine.cached.clear()
            engine.add(1, draw_job(draw, draw.choice(TEAMS), serial), 0)
        now_ms += engine.step()[0]
        for key, sequence in tuple(engine.by_key.items()):
            if sequence.is_done:
                engine.by_key.pop(key)
    return (serial - len(engine.by_key)) / now_ms * _MS_PER_S
