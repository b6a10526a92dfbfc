"""Callers that send long bodies slowly, and so fill the memory of an entry."""

from __future__ import annotations

import asyncio
import contextlib

from bergamotthread.testing.loopback import connect
from soak.deployment import LASTING_KEY, EntryNode, SoakDeployment
from soak.plan import Fault
from soak.records import Kind

# Together they send twice the memory of the smallest machine.
SLOW_CALLERS = 64
BODY_BYTES = 4_000_000
# A part of the body is sent at once and the rest never.
SENT_BYTES = 3_900_000
RESEND_S = 0.5
_BLOCK = b'x' * 65_536


async def send_slowly(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    """Send requests that stay incomplete through one entry."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(fault.for_s), asyncio.TaskGroup() as group:
            for number in range(SLOW_CALLERS):
                name = f'slow{int(fault.at_s)}-{number}'
                group.create_task(_send_on(entry, name))


async def _send_on(entry: EntryNode, name: str) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _send_part(entry.place.address, name)
        await asyncio.sleep(RESEND_S)


async def _send_part(address: str, name: str) -> None:
    """Send a part of a request, and wait until the connection ends."""
    reader, writer = await connect(address)
    try:
        writer.write(
            f'POST {Kind.ONCE}slow HTTP/1.1\r\nhost: h.example\r\n'
            f'bergamotthread-request-id: {name}\r\n'
            f'authorization: Bearer {LASTING_KEY}\r\n'
            f'content-length: {BODY_BYTES}\r\n\r\n'.encode()
        )
        for _ in range(SENT_BYTES // len(_BLOCK)):
            writer.write(_BLOCK)
            await writer.drain()
        await reader.read()
    finally:
        writer.close()
