"""Callers that send a request again and again that crashes its runner."""

from __future__ import annotations

import asyncio
import contextlib
import random
from itertools import count

from bergamotthread.testing.loopback import connect
from soak.callers import ANSWER_GRACE_MS, Request
from soak.deployment import LASTING_KEY, RunnerNode, SoakDeployment
from soak.plan import Fault
from soak.records import Kind
from standins.platform_runner import MODEL

RESEND_S = 0.4
# Shortest time of the fault: the bound of a quarantine begins 4 s after the
# third crash.
FOR_S_MIN = 8.0
_MS_PER_S = 1000


async def crash_runners(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    """Send one request through all entries, each time under another name."""
    series = f'deadly{int(fault.at_s * _MS_PER_S)}'
    kind = Kind.STREAM if runner.service == MODEL else Kind.LOOKUP
    rng = random.Random(series)
    end_ms = soak.clock.now_ms() + max(fault.for_s, FOR_S_MIN) * _MS_PER_S
    sendings = []
    for number in count(1):
        if soak.clock.now_ms() > end_ms:
            break
        request = Request(
            f'{series}-{number}',
            kind,
            f'{kind}{series}/',
            LASTING_KEY,
            None,
            series,
        )
        places = [entry.place for entry in soak.entries if entry.is_offered]
        if places:
            address = rng.choice(places).address
            sendings.append(asyncio.create_task(_send(address, request)))
        await asyncio.sleep(RESEND_S)
    await asyncio.gather(*sendings)


async def _send(address: str, request: Request) -> None:
    """Send a request on a new connection and wait for the end of its answer."""
    timeout_s = (request.time_ms + ANSWER_GRACE_MS) / _MS_PER_S
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(timeout_s):
            reader, writer = await connect(address)
            try:
                writer.write(request.encode())
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            finally:
                writer.close()
