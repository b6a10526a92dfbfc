"""Entries, agents and one plain service on one platform, in memory."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from functools import partial

from bergamotthread.clock import Clock
from bergamotthread.process.calls.call_executor import (
    CallExecutor,
    ExecutorLimits,
)
from bergamotthread.process.calls.call_limits import CallLimits
from bergamotthread.process.calls.call_runner import CallRunner
from bergamotthread.process.store.platform import Table
from bergamotthread.request.call_request import CallAnswer, CallRequest
from bergamotthread.request.call_row import CallRow, decode_row, row_key
from bergamotthread.request.refusal import Refusal
from bergamotthread.testing.memory_network import (
    MemoryNetwork,
    MemoryTransport,
)
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.memory_service import MemoryService
from bergamotthread.wire.messages import Envelope

SERVICE = 'portal'
TEAM = 'foundry'


@dataclass
class CallGroup:
    """Two entries and two agents that share one plain service.

    All agents call the same service, so that its counts show a call that ran
    twice.
    """

    clock: Clock
    platform: MemoryPlatform
    network: MemoryNetwork
    service: MemoryService
    limits: CallLimits = CallLimits()
    incarnation: int = 0
    runners_by_address: dict[str, CallRunner] = field(default_factory=dict)
    executors_by_address: dict[str, CallExecutor] = field(default_factory=dict)
    tables_by_address: dict[str, MemoryTable] = field(default_factory=dict)
    answers_by_key: dict[str, list[CallAnswer | Refusal]] = field(
        default_factory=dict,
    )

    @classmethod
    def create(
        cls,
        *,
        checks_fencing: bool = False,
        store_delay_ms: float = 5,
        limits: CallLimits | None = None,
    ) -> CallGroup:
        """Return a group on the running event loop."""
        clock = Clock.from_loop(asyncio.get_running_loop())
        platform = MemoryPlatform(clock)
        platform.faults.delay_ms = store_delay_ms
        group = cls(
            clock,
            platform,
            MemoryNetwork(delay_ms=1),
            MemoryService(clock, checks_fencing),
            limits or CallLimits(),
        )
        for address in ('agent-1', 'agent-2'):
            group.start_agent(address)
        for address in ('entry-1', 'entry-2'):
            group.start_entry(address)
        return group

    def start_entry(self, address: str, table: Table | None = None) -> None:
        """Start an entry, which replaces any earlier one at the address."""
        memory_table = MemoryTable(self.platform)
        self.tables_by_address[address] = memory_table
        transport = self._transport(address)
        runner = CallRunner(
            table or memory_table,
            MemoryObjectStore(self.platform),
            transport,
            self.clock,
            limits=self.limits,
            rng=random.Random(self.incarnation),
        )
        transport.start(partial(_receive, runner))
        self.runners_by_address[address] = runner

    def start_agent(
        self,
        address: str,
        limits: ExecutorLimits | None = None,
    ) -> None:
        """Start an agent, which replaces any earlier one at the address."""
        transport = self._transport(address)
        executor = CallExecutor(
            transport,
            self.service,
            self.clock,
            limits,
            checks_fencing=self.service.checks_fencing,
        )
        transport.start(partial(_receive, executor))
        self.executors_by_address[address] = executor

    async def stop_agent(self, address: str) -> None:
        """Stop an agent without notifying other processes."""
        self.network.ends_by_address.pop(address, None)
        await self.executors_by_address[address].close()

    def stop_entry(self, address: str) -> None:
        """Stop an entry without notifying other processes."""
        self.network.ends_by_address.pop(address, None)
        self.runners_by_address[address].close()

    def request(self, key: str = 'k', **changes: object) -> CallRequest:
        """Return a request that issues a certificate, with changed fields."""
        default_request = CallRequest(
            service=SERVICE,
            team=TEAM,
            key=key,
            method='POST',
            path='/certificates',
            headers=(),
            body=b'{"batch": 7}',
            idempotent=False,
            agents=('agent-1', 'agent-2'),
            timeout_ms=2000,
            remaining_ms=10_000,
        )
        return replace(default_request, **changes)  # type: ignore[arg-type]

    def row(self, key: str = 'k') -> CallRow | None:
        """Return the row of a key in the table, or None."""
        row = self.platform.rows_by_key.get(row_key(SERVICE, TEAM, key))
        return decode_row(row.body) if row else None

    def runs(self, key: str = 'k') -> int:
        """Return how often the service ran the call with a key."""
        return self.service.runs_by_key.get(key, 0)

    def _transport(self, address: str) -> MemoryTransport:
        self.incarnation += 1
        return self.network.transport(address, self.incarnation)


def _receive(end: CallRunner | CallExecutor, envelope: Envelope) -> None:
    end.on_message(envelope)
