"""Capacity rows of the data path, from committed benchmark results."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks import data_path, data_path_agent
from benchmarks.capacity_rows import (
    ENTRIES,
    TOKENS_PER_S,
    UPSTREAMS,
    Budget,
    CapacityRow,
    ComputedRow,
    MeasuredRow,
    Role,
    register_rows,
)

ENTRY_COMMAND = 'python -m benchmarks.data_path --sizes'
AGENT_COMMAND = 'python -m benchmarks.data_path_agent --write'
FULL_STREAMS = 240
AGENT_INTERVAL_MS = 40
NODE_TOKENS_PER_S = TOKENS_PER_S / ENTRIES
AGENT_TOKENS_PER_S = TOKENS_PER_S / UPSTREAMS
_MB = 1024 * 1024
_US_PER_S = 1_000_000


@register_rows
def rows() -> tuple[CapacityRow, ...]:
    """Return the rows; results that do not exist give no rows."""
    return (*_entry_rows(), *_core_rows(), *_agent_rows())


def _entry_rows() -> tuple[MeasuredRow, ...]:
    at_node = [
        run
        for run in data_path.load_results().runs
        if run.offered_tokens_per_s / run.streams
        < data_path.TARGET_TOKENS_PER_S / FULL_STREAMS
    ]
    if len(at_node) < len(data_path.SIZES):
        return ()

    def row(
        figure: str,
        budget: Budget,
        at: Callable[[data_path.EntryFigures], tuple[float, float]],
        count: float,
        per: str,
    ) -> MeasuredRow:
        return MeasuredRow(
            Role.DATA_PATH,
            figure,
            budget,
            per,
            count,
            tuple(at(run) for run in at_node),
            'one entry process',
            ENTRY_COMMAND,
        )

    return (
        row(
            'CPU of relaying at an entry, us/s',
            Budget.NONE,
            lambda run: (
                run.tokens / run.seconds,
                run.cpu_s / run.seconds * _US_PER_S,
            ),
            NODE_TOKENS_PER_S,
            'token/s',
        ),
        row(
            'memory of one stream at an entry',
            Budget.MEMORY,
            lambda run: (run.streams, run.rss_mb * _MB),
            FULL_STREAMS,
            'stream',
        ),
        row(
            'bytes a token, agent to entry',
            Budget.NONE,
            lambda run: (run.streams, run.agent_bytes),
            FULL_STREAMS,
            'stream',
        ),
        row(
            'bytes a token, entry to caller',
            Budget.NONE,
            lambda run: (run.streams, run.caller_bytes),
            FULL_STREAMS,
            'stream',
        ),
    )


def _core_rows() -> tuple[ComputedRow, ...]:
    largest = [
        run
        for run in data_path.load_results().runs
        if run.streams == FULL_STREAMS
    ]
    if len(largest) != 2:
        return ()
    at_node, at_target = largest
    return (
        ComputedRow(
            Role.DATA_PATH,
            'tokens/s relayed per core of an entry',
            Budget.NONE,
            at_target.tokens_per_cpu_s,
            f'tokens over CPU seconds, {FULL_STREAMS} streams, '
            f'{data_path.TARGET_TOKENS_PER_S} tokens/s; {ENTRY_COMMAND}',
            'one entry process',
        ),
        ComputedRow(
            Role.DATA_PATH,
            'streams an entry',
            Budget.NONE,
            at_node.streams * at_node.seconds / at_node.cpu_s,
            f'{FULL_STREAMS} streams over their share of a core at '
            f"a node's rate; {ENTRY_COMMAND}",
            'one entry process',
        ),
    )


def _agent_rows() -> tuple[MeasuredRow, ...]:
    runs = data_path_agent.load_results().runs[: data_path_agent.SAME_INTERVAL]
    if len(runs) < 4:
        return ()
    return (
        MeasuredRow(
            Role.DATA_PATH,
            'CPU of an agent, us/s',
            Budget.NONE,
            'token/s',
            AGENT_TOKENS_PER_S,
            tuple(
                (run.tokens_per_s, run.core_share * _US_PER_S) for run in runs
            ),
            'one agent process',
            AGENT_COMMAND,
        ),
        MeasuredRow(
            Role.DATA_PATH,
            'memory of one stream at an agent',
            Budget.MEMORY,
            'stream',
            AGENT_TOKENS_PER_S * AGENT_INTERVAL_MS / 1000,
            tuple((run.streams, run.rss_mb * _MB) for run in runs),
            'one agent process',
            AGENT_COMMAND,
        ),
    )
