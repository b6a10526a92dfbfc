"""Cost of running an attempt on an upstream, in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.process.routing.load_view import LoadEstimate
from bergamotthread.process.routing.placement import PlacementRequest
from bergamotthread.process.routing.upstream_pool import Target

BYTES_PER_TOKEN = 4
_BYTES_PER_GB = 1_000_000_000
_MS_PER_S = 1000


@dataclass(frozen=True)
class ScoreWeights:
    """Weights that convert the terms of the score into milliseconds.

    Parameters
    ----------
    queued_ms
        Expected wait for each attempt that is queued or above `max_running`.
    running_ms
        Slowdown caused by each attempt that already runs.
    kv_full_ms
        Cost of a full KV cache; scales with the square of the fraction in use.
    cost_unit_ms
        Delay that is equivalent to one cost unit of cross-region traffic.
    cross_region_ms
        Fixed cost of a dispatch to another region.
    """

    queued_ms: float = 1000
    running_ms: float = 15
    kv_full_ms: float = 1200
    cost_unit_ms: float = 1_000_000
    cross_region_ms: float = 60


@dataclass(frozen=True)
class AttemptSize:
    """Tokens of an attempt that is to be placed.

    Parameters
    ----------
    kv_tokens
        Tokens that the attempt adds to the KV cache.
    uncovered_tokens
        Tokens that the upstream must prefill.
    """

    kv_tokens: int
    uncovered_tokens: int


def uncovered_tokens(request: PlacementRequest, covered_blocks: int) -> int:
    """Return the tokens to prefill, given the number of cached blocks."""
    total = request.prompt_tokens + request.accepted_tokens
    if not request.prefix_hashes:
        return total
    covered_fraction = covered_blocks / len(request.prefix_hashes)
    return total - int(request.prompt_tokens * covered_fraction)


def score_ms(
    attempt: AttemptSize,
    load: LoadEstimate,
    target: Target,
    weights: ScoreWeights,
) -> float:
    """Return the cost of running an attempt on a target.

    It is the sum of the expected time to the first token, the slowdown by the
    attempts that already run, and a penalty for a full KV cache.
    """
    own_prefill_s = attempt.uncovered_tokens / load.prefill_per_s
    prefill_ms = load.prefill_ms + own_prefill_s * _MS_PER_S
    excess = max(0, load.running + 1 - target.max_running)
    kv_fraction = _kv_fraction(attempt, load, target)
    queue_ms = prefill_ms + (load.queued + excess) * weights.queued_ms
    slowdown_ms = load.running * weights.running_ms
    return queue_ms + slowdown_ms + kv_fraction**2 * weights.kv_full_ms


def _kv_fraction(
    attempt: AttemptSize,
    load: LoadEstimate,
    target: Target,
) -> float:
    capacity = load.kv_capacity or target.kv_capacity
    return (load.kv_tokens + attempt.kv_tokens) / max(capacity, 1)


def region_cost_ms(
    request: PlacementRequest,
    price_per_gb: float,
    weights: ScoreWeights,
) -> float:
    """Return the cost of dispatching to another region."""
    tokens = request.prompt_tokens + request.accepted_tokens
    cost = tokens * BYTES_PER_TOKEN / _BYTES_PER_GB * price_per_gb
    return weights.cross_region_ms + cost * weights.cost_unit_ms
