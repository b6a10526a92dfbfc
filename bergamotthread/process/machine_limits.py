"""What the machine of a process gives it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Limits of the machine on which a process runs.

    Parameters
    ----------
    cores
        Processor time that it may use, in seconds per second.
    memory_bytes
        Memory above which the process is killed.
    link_bytes_per_s
        Rate of its link in each direction.
    """

    cores: float
    memory_bytes: float
    link_bytes_per_s: float
