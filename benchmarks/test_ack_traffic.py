"""Acknowledgements use at most half of the control traffic budget."""

from benchmarks.ack_traffic import AGENTS, STREAMS, measure
from bergamotthread.testing.virtual_loop import run_virtual

CONTROL_BYTES_PER_S = 16 * 1024


def test_acknowledgements_take_at_most_half_of_the_budget() -> None:
    sent = run_virtual(measure(STREAMS, AGENTS))
    assert 0 < sent <= CONTROL_BYTES_PER_S / 2
