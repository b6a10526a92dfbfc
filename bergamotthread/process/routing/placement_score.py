"""Cost in milliseconds of running an attempt on an upstream."""

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
    """Exchange rates of the score's terms into milliseconds.

    Parameters
    ----------
    queued_ms
        Expected wait for each attempt that is queued or above `max_running`.
    running_ms
        Slowdown by each attempt that already runs.
    kv_full_ms
        Cost of a full cache; grows with the square of the share in use.
    cost_unit_ms
        Delay that is worth one cost unit of paid cross-region traffic.
    """

    queued_ms: float = 1000
    running_ms: float = 15
    kv_full_ms: float = 1200
    cost_unit_ms: float = 1_000_000
    cross_region_ms: float = 60


@dataclass(frozen=True)
class Attempted:
    """Attempt to place, with the tokens that an upstream must prefill."""

    kv_tokens: int
    uncovered_tokens: int


def uncovered_tokens(request: PlacementRequest, covered_blocks: int) -> int:
    """Return the tokens to prefill when leading blocks are cached."""
    total = request.prompt_tokens + request.accepted_tokens
    if not request.prefix_hashes:
        return total
    share = covered_blocks / len(request.prefix_hashes)
    return total - int(request.prompt_tokens * share)


def score_ms(
    attempted: Attempted,
    load: LoadEstimate,
    target: Target,
    weights: ScoreWeights,
) -> float:
    """Return the expected time to the first token and the harm to others."""
    own_prefill_s = attempted.uncovered_tokens / load.prefill_per_s
    prefill_ms = load.prefill_ms + own_prefill_s * _MS_PER_S
    surplus = max(0, load.running + 1 - target.max_running)
    kv_share = _kv_share(attempted, load, target)
    queue_ms = prefill_ms + (load.queued + surplus) * weights.queued_ms
    harm_ms = load.running * weights.running_ms
    return queue_ms + harm_ms + kv_share**2 * weights.kv_full_ms


def _kv_share(
    attempted: Attempted,
    load: LoadEstimate,
    target: Target,
) -> float:
    capacity = load.kv_capacity or target.kv_capacity
    return (load.kv_tokens + attempted.kv_tokens) / max(capacity, 1)


def region_cost_ms(
    request: PlacementRequest,
    price_per_gb: float,
    weights: ScoreWeights,
) -> float:
    """Return the cost of dispatching to another region."""
    tokens = request.prompt_tokens + request.accepted_tokens
    paid = tokens * BYTES_PER_TOKEN / _BYTES_PER_GB * price_per_gb
    return weights.cross_region_ms + paid * weights.cost_unit_ms
