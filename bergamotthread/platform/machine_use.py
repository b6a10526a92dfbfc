"""What this process uses of its machine, measured and logged."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.held_bytes import HeldBytes
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.process.machine_limits import MachineLimits
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.own_load import OwnLoad


@dataclass(frozen=True)
class MachineUse:
    """Bytes that are held, and the load of the machine of an entry.

    Parameters
    ----------
    pool
        Connections to upstreams and other entries, whose bytes count.
    """

    held: HeldBytes
    load: OwnLoad
    pool: UpstreamPool
    log: DecisionLog

    @classmethod
    def from_limits(
        cls,
        clock: Clock,
        machine: MachineLimits,
        pool: UpstreamPool,
        log: DecisionLog,
    ) -> MachineUse:
        """Return the use of a machine, of which nothing is measured yet."""
        held = HeldBytes.from_memory(clock, machine.memory_bytes)
        return cls(held, OwnLoad(clock, machine), pool, log)

    def measure(self, late_ms: float) -> None:
        """Measure the use; log when the entry begins or ends to refuse.

        Parameters
        ----------
        late_ms
            Time by which the timer of this measurement was late.
        """
        load = self.load
        was_choked = load.is_choked
        load.measure(
            self.held.written_bytes + self.pool.sent_bytes,
            self.held.unsent_bytes,
            late_ms,
        )
        if load.is_choked == was_choked:
            return
        self.log.write(
            'entry-choked' if load.is_choked else 'entry-has-room',
            processor_share=round(load.processor_share, 2),
            late_ms=round(load.late_ms),
            link_late_ms=round(load.link_late_ms),
            cores=load.machine.cores,
            link_bytes_per_s=load.machine.link_bytes_per_s,
        )
