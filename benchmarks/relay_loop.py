"""CPU cost of the relay of one entry, in one process without sockets.

Batches are passed to the entry's `Generations`, and the ASGI messages of each
stream are counted. The cost is compared with that of a baseline loop, which
does only the work that no relay can avoid: decode, encode and sign.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import dataclass

import msgspec
from starlette.types import Message as AsgiMessage

from bergamotthread.connection.event_stream import EventStreamResponse
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.wire.codec import decode_envelope, encode_envelope
from bergamotthread.wire.messages import (
    Admitted,
    Envelope,
    Frame,
    LoadReport,
    OutputBatch,
)
from standins.small_deployment import SmallDeployment

STREAMS_PER_BATCH = 15
TOKEN = '712514859 '
_LOAD = LoadReport(running=STREAMS_PER_BATCH, kv_capacity=200_000)


@dataclass
class RelayCounts:
    """Counts of one run; `cpu_s` is the CPU time of relaying all batches."""

    frames: int = 0
    bodies: int = 0
    body_bytes: int = 0
    cpu_s: float = 0


class _Caller:
    """Counts the ASGI messages of one stream."""

    def __init__(self, counts: RelayCounts) -> None:
        self._counts = counts

    async def send(self, message: AsgiMessage) -> None:
        body = message.get('body', b'')
        if body:
            self._counts.bodies += 1
            self._counts.body_bytes += len(body)

    async def receive(self) -> AsgiMessage:
        never: asyncio.Future[AsgiMessage] = (
            asyncio.get_running_loop().create_future()
        )
        return await never


async def relay(
    streams: int,
    flushes: int,
    batches_at_once: int = 1,
) -> RelayCounts:
    """Relay `flushes` frames to each stream; count the work.

    The event loop runs after every `batches_at_once` flushes.
    """
    counts = RelayCounts()
    deployment = SmallDeployment(agent_count=1)
    deployment.agents[0].kill()
    entry = deployment.entries[0]
    lives = []
    tasks = []
    for index in range(streams):
        request = CompletionRequest('furnace-log', f'prompt {index}', 100_000)
        live, stream = entry.open(request)
        caller = _Caller(counts)
        response = EventStreamResponse(stream.events(), _ignore, {})
        serving = response({'type': 'http'}, caller.receive, caller.send)
        tasks.append(asyncio.create_task(serving))
        lives.append(live)
    await _until_dispatched(lives)
    agent = lives[0].generation.place.agent
    for live in lives:
        admitted = Admitted(live.generation.spec.generation, 1)
        entry.generations.on_message(Envelope(agent, 1, admitted))
    encoded = [_batches(agent, lives, offset) for offset in range(flushes)]
    started_s = time.process_time()
    for number, batches in enumerate(encoded, start=1):
        for batch in batches:
            entry.generations.on_message(decode_envelope(batch))
        if number % batches_at_once == 0:
            await _until_idle()
    counts.cpu_s = time.process_time() - started_s
    counts.frames = streams * flushes
    for task in (*tasks, entry.task):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    entry.kill()
    return counts


def baseline(streams: int, flushes: int) -> float:
    """Return the CPU seconds of only decoding, encoding and signing."""
    frames = tuple(
        Frame(f'gen-{index:032}', 1, 0, (TOKEN,))
        for index in range(STREAMS_PER_BATCH)
    )
    envelope = Envelope('127.0.0.1:1', 1, OutputBatch(frames, _LOAD))
    encoded = encode_envelope(envelope)
    rounds = streams * flushes // STREAMS_PER_BATCH
    encode = msgspec.json.Encoder().encode
    started_s = time.process_time()
    for _ in range(rounds):
        for frame in decode_envelope(encoded).message.frames:  # type: ignore[union-attr]
            plain = encode(frame)
            hashlib.blake2b(plain, digest_size=12, key=b'key').digest()
            encode({'id': frame.generation, 'choices': [{'text': TOKEN}]})
    return time.process_time() - started_s


async def _until_dispatched(lives: list[LiveGeneration]) -> None:
    for live in lives:
        while not live.generation.place.agent:  # noqa: ASYNC110
            await asyncio.sleep(0)


async def _until_idle() -> None:
    for _ in range(4):
        await asyncio.sleep(0)


def _batches(
    agent: str,
    lives: list[LiveGeneration],
    offset: int,
) -> list[bytes]:
    frames = [
        Frame(live.generation.spec.generation, 1, offset, (TOKEN,))
        for live in lives
    ]
    return [
        encode_envelope(
            Envelope(
                agent,
                1,
                OutputBatch(
                    tuple(frames[start : start + STREAMS_PER_BATCH]),
                    _LOAD,
                ),
            ),
        )
        for start in range(0, len(frames), STREAMS_PER_BATCH)
    ]


def _ignore() -> None:
    """Do nothing when a stream closes."""


if __name__ == '__main__':
    counts = asyncio.run(relay(240, 200))
    print(counts, 1e6 * counts.cpu_s / counts.frames, 'us a frame')
    print(1e6 * baseline(240, 200) / 240 / 200, 'us a frame of the baseline')
