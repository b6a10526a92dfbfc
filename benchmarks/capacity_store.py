"""Capacity rows of the store and of publication, from other benchmarks.

Each row names the command that measured it. Figures of the design pages are
repeated here so that the capacity page can add them up.
"""

from __future__ import annotations

from benchmarks.capacity_rows import (
    Budget,
    CapacityRow,
    ComputedRow,
    Role,
    register_rows,
)

VERSIONS_A_DAY = 10_000
SECONDS_A_DAY = 86_400
WRITES_A_VERSION = 32
PUBLICATION_READS_PER_S = 130
IN_FORCE_MS = 1840
CALL_WRITES = 4
STORE_WRITES_PER_S = 500
EXPLANATION_OBJECTS_PER_S = 32
ACK_BYTES_PER_S = 5257
BASE_BYTES = 59 * 1024 * 1024


@register_rows
def rows() -> tuple[CapacityRow, ...]:
    """Return the rows."""
    return (*_store_rows(), *_process_rows())


def _store_rows() -> tuple[CapacityRow, ...]:
    writes = WRITES_A_VERSION * VERSIONS_A_DAY / SECONDS_A_DAY
    return (
        ComputedRow(
            Role.TABLE,
            'guarded calls a second that the store carries',
            Budget.NONE,
            STORE_WRITES_PER_S / CALL_WRITES,
            '3 writes a call and a delete after the key lifetime, no other '
            'source: python -m pytest benchmarks/test_calls.py -s',
            'row of each call, compare-and-set',
        ),
        ComputedRow(
            Role.TABLE,
            'publication, writes',
            Budget.WRITES,
            writes,
            f'{WRITES_A_VERSION} writes a version at 320 holders, '
            f'{VERSIONS_A_DAY} versions a day: '
            'python -m benchmarks.publication_time 32',
            'one version row and registrations',
        ),
        ComputedRow(
            Role.TABLE,
            'publication, reads',
            Budget.READS,
            PUBLICATION_READS_PER_S,
            'highest row at 320 holders, 80 ms and 20% loss: '
            'python -m benchmarks.publication_time 32',
            'few readers in each group, the others ask them',
        ),
        ComputedRow(
            Role.TABLE,
            'explanations, objects',
            Budget.WRITES,
            EXPLANATION_OBJECTS_PER_S,
            '320 entries at 20 refusals/s each: '
            'python -m pytest benchmarks/test_explanations.py',
            'batches, found by the request id',
        ),
    )


def _process_rows() -> tuple[CapacityRow, ...]:
    command = 'RSS without streams: python -m benchmarks.data_path_agent'
    return (
        ComputedRow(
            Role.ENTRY,
            'acknowledgements to agents',
            Budget.MESSAGES,
            ACK_BYTES_PER_S,
            '240 streams on the 16 agents of a subset; 5,424 on 30, 6,504 on '
            '120: python -m benchmarks.ack_traffic --agents 15',
            'one each 256 tokens or 2 s, coalesced by agent',
        ),
        ComputedRow(
            Role.ENTRY,
            'memory of a process without load',
            Budget.MEMORY,
            BASE_BYTES,
            command,
            'one process, imports and loop',
        ),
        ComputedRow(
            Role.AGENT,
            'memory of a process without load',
            Budget.MEMORY,
            BASE_BYTES,
            command,
            'one process, imports and loop',
        ),
        ComputedRow(
            Role.FAULTS,
            'change of configuration: ms until in force everywhere',
            Budget.NONE,
            IN_FORCE_MS,
            'highest of 20 versions at 320 holders, 80 ms, 20% loss; accepted '
            'after 3,070 ms: python -m benchmarks.publication_time 32',
            'notices, questions to the readers of a group',
        ),
    )
