"""Chained hashes of a prompt's blocks and a view of which agent caches them."""

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

    Hash `n` covers blocks 0 to `n`, so that equal hashes mean equal prefixes.

    Parameters
    ----------
    prompt
        Text of the prompt.
    pin_key
        Seed of the chain; prefixes of different models never match.
    """
    previous = xxhash.xxh64_intdigest(pin_key.encode())
    chained: list[int] = []
    ends = range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS)
    for end in ends[:PREFIX_BLOCKS_MAX]:
        block = prompt[end - PREFIX_BLOCK_CHARS : end]
        previous = xxhash.xxh64_intdigest(block.encode(), seed=previous)
        chained.append(previous)
    return tuple(chained)


@dataclass
class PrefixView:
    """Prefixes that each agent probably caches.

    Chained hashes make it robust against missing events: one known hash
    implies all shorter prefixes. Each agent's hashes are bounded by what its
    engine can hold, and the least recently used go first, as in the engines: a
    view that forgets too late sees every prefix everywhere.
    """

    hashes_max: int = CACHED_HASHES_MAX
    _hashes_max_by_agent: dict[str, int] = field(default_factory=dict)
    _hashes_by_agent: dict[str, OrderedDict[int, None]] = field(
        default_factory=dict,
    )
    _agents_by_hash: dict[int, set[str]] = field(default_factory=dict)

    def bound(self, agent: str, kv_capacity: int) -> None:
        """Set the bound of an agent from its engine's cache, in tokens."""
        blocks = kv_capacity // PREFIX_BLOCK_TOKENS
        self._hashes_max_by_agent[agent] = min(blocks, self.hashes_max)

    def record(self, agent: str, prefix_hashes: tuple[int, ...]) -> None:
        """Take in that an agent caches, or soon will, these prefixes."""
        held = self._hashes_by_agent.setdefault(agent, OrderedDict())
        for one in prefix_hashes:
            held[one] = None
            held.move_to_end(one)
            self._agents_by_hash.setdefault(one, set()).add(agent)
        bound = self._hashes_max_by_agent.get(agent, self.hashes_max)
        while len(held) > bound:
            evicted, _ = held.popitem(last=False)
            self._drop(agent, evicted)

    def forget(self, agent: str) -> None:
        """Drop all hashes of an agent, whose engine was lost."""
        for one in self._hashes_by_agent.pop(agent, ()):
            self._drop(agent, one)

    def covered_blocks(self, agent: str, prefix_hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks an agent probably caches."""
        held = self._hashes_by_agent.get(agent)
        if not held:
            return 0
        for count in range(len(prefix_hashes), 0, -1):
            if prefix_hashes[count - 1] in held:
                return count
        return 0

    def holders(self, prefix_hashes: tuple[int, ...]) -> frozenset[str]:
        """Return all agents with the longest cached prefix."""
        for one in reversed(prefix_hashes):
            agents = self._agents_by_hash.get(one)
            if agents:
                return frozenset(agents)
        return frozenset()

    def _drop(self, agent: str, one: int) -> None:
        agents = self._agents_by_hash.get(one)
        if agents is None:
            return
        agents.discard(agent)
        if not agents:
            self._agents_by_hash.pop(one)
