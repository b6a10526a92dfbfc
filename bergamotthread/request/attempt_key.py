"""Identity of an attempt."""

from __future__ import annotations

from typing import NamedTuple

from bergamotthread.wire.messages import Dispatch


class AttemptKey(NamedTuple):
    """Generation and number of an attempt.

    A tuple, to be hashed fast: agents look it up for each batch of tokens.
    """

    generation: str
    attempt: int

    @classmethod
    def from_dispatch(cls, dispatch: Dispatch) -> AttemptKey:
        """Return the key of a dispatched attempt."""
        return cls(dispatch.generation, dispatch.attempt)
