"""Bounds on false suspicions and detection time, from the targets."""

import pytest

from benchmarks.detection import (
    PEER_SIGNAL,
    TOKEN_SIGNAL,
    Signal,
    measure_suspicions,
)
from bergamotthread.connection.detector import (
    PEER_LIMITS,
    TOKEN_LIMITS,
    DetectorLimits,
)

LOSS_P95_MS = 3000


@pytest.mark.parametrize(
    ('limits', 'signal'),
    [(PEER_LIMITS, PEER_SIGNAL), (TOKEN_LIMITS, TOKEN_SIGNAL)],
)
def test_short_pauses_are_no_loss(
    limits: DetectorLimits,
    signal: Signal,
) -> None:
    """Pauses below the floor raise no suspicion; a loss is detected in time."""
    suspicions = measure_suspicions(limits, signal)
    assert not suspicions.per_hour
    assert suspicions.notice_ms < LOSS_P95_MS
