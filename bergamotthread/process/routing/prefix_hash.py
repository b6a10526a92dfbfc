"""Chained hashes of prompt blocks, and estimates of the agents caching them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

PREFIX_BLOCK_CHARS = 1024
PREFIX_BLOCK_TOKENS = 256
PREFIX_BLOCKS_MAX = 256
CACHED_HASHES_MAX = 2048


def block_hashes(prompt: str, pin_key: str = '') -> tuple[int, ...]:
    """Return chained 64-bit hashes of the prompt's full blocks.

    Hash `n` covers blocks 0 to `n`, so equal hashes mean equal prefixes.

    Parameters
    ----------
    prompt
        Text of the prompt.
    pin_key
        Seed of the chain, so that prefixes of different models never match.
    """
    chain_hash = xxhash.xxh64_intdigest(pin_key.encode())
    hashes: list[int] = []
    ends = range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS)
    for end in ends[:PREFIX_BLOCKS_MAX]:
        block = prompt[end - PREFIX_BLOCK_CHARS : end]
        chain_hash = xxhash.xxh64_intdigest(block.encode(), seed=chain_hash)
        hashes.append(chain_hash)
    return tuple(hashes)


@dataclass
class PrefixView:
    """Estimate of the prefixes that each agent's engine caches.

    A known hash implies all shorter prefixes, since hashes are chained, so a
    missed event does little harm. The number of hashes per agent is limited to
    what its engine can cache, and the least recently used are evicted first,
    as the engines do. A view that evicts later than the engines would report
    every prefix as cached everywhere.

    Parameters
    ----------
    hashes_max
        Hashes kept per agent at most, whatever its engine can cache.
    """

    hashes_max: int = CACHED_HASHES_MAX
    _hashes_max_by_agent: dict[str, int] = field(default_factory=dict)
    _hashes_by_agent: dict[str, OrderedDict[int, None]] = field(
        default_factory=dict,
    )
    _agents_by_hash: dict[int, set[str]] = field(default_factory=dict)

    def limit_to_cache(self, agent: str, kv_capacity: int) -> None:
        """Limit an agent's hashes to its engine's KV cache, in tokens."""
        blocks = kv_capacity // PREFIX_BLOCK_TOKENS
        self._hashes_max_by_agent[agent] = min(blocks, self.hashes_max)

    def record(self, agent: str, prefix_hashes: tuple[int, ...]) -> None:
        """Record that an agent caches these prefixes or soon will."""
        cached = self._hashes_by_agent.setdefault(agent, OrderedDict())
        for prefix_hash in prefix_hashes:
            cached[prefix_hash] = None
            cached.move_to_end(prefix_hash)
            self._agents_by_hash.setdefault(prefix_hash, set()).add(agent)
        limit = self._hashes_max_by_agent.get(agent, self.hashes_max)
        while len(cached) > limit:
            evicted, _ = cached.popitem(last=False)
            self._remove_hash(agent, evicted)

    def remove(self, agent: str) -> None:
        """Remove all hashes of an agent whose engine was lost."""
        for prefix_hash in self._hashes_by_agent.pop(agent, ()):
            self._remove_hash(agent, prefix_hash)

    def covered_blocks(self, agent: str, prefix_hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks an agent has probably cached."""
        cached = self._hashes_by_agent.get(agent)
        if not cached:
            return 0
        for count in range(len(prefix_hashes), 0, -1):
            if prefix_hashes[count - 1] in cached:
                return count
        return 0

    def longest_prefix_agents(
        self, prefix_hashes: tuple[int, ...]
    ) -> frozenset[str]:
        """Return all agents with the longest cached prefix."""
        for prefix_hash in reversed(prefix_hashes):
            agents = self._agents_by_hash.get(prefix_hash)
            if agents:
                return frozenset(agents)
        return frozenset()

    def _remove_hash(self, agent: str, prefix_hash: int) -> None:
        agents = self._agents_by_hash.get(prefix_hash)
        if agents is None:
            return
        agents.discard(agent)
        if not agents:
            self._agents_by_hash.pop(prefix_hash)
