"""Memory of generations that have ended."""

from __future__ import annotations

import gc
import weakref

from bergamotthread.request.generation import Generation, GenerationSpec
from bergamotthread.wire.messages import EndMark, EndReason, Frame, Pin


def _finished_generation() -> Generation:
    spec = GenerationSpec('g', 'team', Pin('m', '1'), 'prompt', 2, 1000)
    generation = Generation(spec)
    generation.begin_attempt('agent')
    frame = Frame('g', 1, 0, ('a', 'b'), EndMark(EndReason.LENGTH, 2))
    generation.accept(frame, 'agent', 1)
    return generation


def test_generation_is_freed_without_a_garbage_collection():
    """Those that wait for a full collection raise the entry's memory."""
    gc.disable()
    try:
        generation = _finished_generation()
        assert generation.is_over
        reference = weakref.ref(generation)
        del generation
        assert reference() is None
    finally:
        gc.enable()
