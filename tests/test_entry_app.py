"""HTTP application of an entry with agents and engines, over loopback.

Each test sends requests to a server socket, so that limits, streaming and
disconnects are those of the real HTTP server.
"""

import asyncio
import hashlib
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
from aiosonic import HTTPClient

from bergamotthread.clock import Clock
from bergamotthread.connection.body_limit import BodyLimit
from bergamotthread.connection.http_engine import HttpEngineClient
from bergamotthread.connection.http_server import HttpServer
from bergamotthread.process.agent import Agent, AgentConfig
from bergamotthread.process.entry_app import EntryApp, EntryParts
from bergamotthread.process.entry_metrics import EntryMetrics
from bergamotthread.process.explanations.explanation_batch import new_writer_id
from bergamotthread.process.explanations.explanations import Explanations
from bergamotthread.process.explanations.refusal_recorder import RefusalRecorder
from bergamotthread.process.generations.completions import Completions
from bergamotthread.process.generations.generations import Generations
from bergamotthread.process.routing.round_robin import RoundRobinPlacement
from bergamotthread.process.settings import LimitSettings
from bergamotthread.request.cursor import CursorSigner
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
)
from bergamotthread.version.distribution import VersionHolder
from bergamotthread.version.published import PublishedVersion
from standins.engine import create_app
from standins.engine_core import Engine, EngineSpeed
from standins.serving import server
from standins.small_deployment import small_set
from standins.tokens import verify_answer

CREDENTIAL = 'secret of the foundry'
PROMPT = 'soak times of batch 17'
SPEED = EngineSpeed(token_interval_ms=2)


class _NoLimits:
    def try_admit(self, team: str, cost: float = 1) -> None:
        return None

    def release(self, team: str) -> None:
        return None


@dataclass
class _Deployment:
    base: str
    engines: list[Engine]
    generations: Generations
    client: HTTPClient

    async def post(self, body: dict, headers: dict | None = None):
        return await self.client.request(
            f'{self.base}/v1/completions',
            method='POST',
            headers={
                'authorization': f'Bearer {CREDENTIAL}',
                **(headers or {}),
            },
            data=msgspec.json.encode(body),
            stream=True,
        )


def _published() -> PublishedVersion:
    object_set = small_set(2)
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    team = msgspec.structs.replace(
        object_set.teams[0], credential_hashes=(digest,)
    )
    return PublishedVersion.from_object_set(
        1,
        msgspec.structs.replace(object_set, teams=(team,)),
    )


@asynccontextmanager
async def _running_deployment():
    clock = Clock.from_system()
    network = MemoryNetwork(delay_ms=0)
    engines = [Engine(clock, SPEED, seed=index) for index in range(2)]
    servers: list[HttpServer] = []
    tasks = []
    addresses = [f'10.0.0.{index + 1}:7000' for index in range(2)]
    for engine, address in zip(engines, addresses, strict=True):
        engine_server = server(create_app(engine), '127.0.0.1:0')
        await engine_server.start()
        servers.append(engine_server)
        client = HttpEngineClient(f'127.0.0.1:{engine_server.port}')
        agent_transport = network.transport(address)
        agent = Agent(AgentConfig(), agent_transport, client, clock)
        agent_transport.start(agent.on_message)
        tasks.append(asyncio.create_task(agent.run()))
    transport = network.transport('10.9.0.1:7000')
    generations = Generations(transport, RoundRobinPlacement(addresses), clock)
    transport.start(generations.on_message)
    tasks.append(asyncio.create_task(generations.run()))
    platform = MemoryPlatform(clock)
    metrics = EntryMetrics(clock)
    explanations = Explanations(
        MemoryObjectStore(platform),
        clock,
        new_writer_id(),
    )
    recorder = RefusalRecorder(explanations, metrics)
    versions = VersionHolder.from_object_set(_published().object_set)
    parts = EntryParts(
        generations=generations,
        completions=Completions(
            generations,
            CursorSigner((b'test key',)),
            clock,
            recorder.record_refusal,
        ),
        versions=versions,
        calls=None,
        teams=_NoLimits(),
        explanations=explanations,
        metrics=metrics,
        put_in_force=generations.apply_version,
    )
    app = EntryApp(parts, recorder, clock)
    limited = BodyLimit(
        app.starlette(),
        LimitSettings(body_bytes=10_000),
        recorder.record_refusal,
    )
    entry = server(limited, '127.0.0.1:0')
    await entry.start()
    servers.append(entry)
    base = f'http://127.0.0.1:{entry.port}'
    try:
        yield _Deployment(base, engines, generations, HTTPClient())
    finally:
        for task in tasks:
            task.cancel()
        for running in servers:
            await running.abort()


def _events(stream: bytes) -> list[dict]:
    lines = stream.decode().splitlines()
    payloads = [line[6:] for line in lines if line.startswith('data: {')]
    return [msgspec.json.decode(payload) for payload in payloads]


def _ids(stream: bytes) -> list[str]:
    lines = stream.decode().splitlines()
    return [line[4:] for line in lines if line.startswith('id: ')]


def _text(stream: bytes) -> str:
    return ''.join(event['choices'][0]['text'] for event in _events(stream))


async def _read(response) -> bytes:
    return b''.join([chunk async for chunk in response.read_chunks()])


def _total(deployment: _Deployment, count: str) -> int:
    return sum(getattr(engine.counts, count) for engine in deployment.engines)


async def _until(condition) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def test_json_answer_has_every_token() -> None:
    async def scenario() -> None:
        async with _running_deployment() as deployment:
            response = await deployment.post(
                {'model': 'furnace-log', 'prompt': PROMPT, 'max_tokens': 20},
            )
            answer = msgspec.json.decode(await response.content())
        assert response.status_code == 200
        assert answer['usage']['completion_tokens'] == 20
        verify_answer(PROMPT, answer['choices'][0]['text'], 20)

    asyncio.run(scenario())


def test_stream_is_complete_after_engine_losses() -> None:
    async def scenario() -> None:
        async with _running_deployment() as deployment:
            deployment.engines[0].faults.die_after_tokens = 25
            deployment.engines[1].faults.die_after_tokens = 40
            asyncio.get_running_loop().call_later(
                0.3,
                deployment.engines[0].revive,
            )
            response = await deployment.post(
                {
                    'model': 'furnace',
                    'prompt': PROMPT,
                    'max_tokens': 60,
                    'stream': True,
                },
            )
            stream = await _read(response)
        assert stream.endswith(b'data: [DONE]\n\n')
        verify_answer(PROMPT, _text(stream), 60)
        last = _events(stream)[-1]
        assert last['usage']['completion_tokens'] == 60

    asyncio.run(scenario())


def test_reconnect_continues_after_the_last_event_id() -> None:
    async def scenario() -> None:
        async with _running_deployment() as deployment:
            body = {
                'model': 'furnace',
                'prompt': PROMPT,
                'max_tokens': 50,
                'stream': True,
            }
            first = await deployment.post(body)
            head = b''
            async for chunk in first.read_chunks():
                head += chunk
                if head.count(b'id: ') >= 2 and head.endswith(b'\n\n'):
                    break
            await first.aclose()
            cursor = _ids(head)[-1]
            second = await deployment.post(body, {'last-event-id': cursor})
            tail = await _read(second)
        verify_answer(PROMPT, _text(head) + _text(tail), 50)

    asyncio.run(scenario())


def test_disconnect_of_the_caller_cancels_the_engine_run() -> None:
    async def scenario() -> None:
        async with _running_deployment() as deployment:
            body = {'model': 'furnace', 'prompt': PROMPT, 'max_tokens': 9000}
            task = asyncio.create_task(deployment.post(body))
            await _until(lambda: _total(deployment, 'started'))
            task.cancel()
            await _until(lambda: _total(deployment, 'cancelled'))

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_refusals_are_problem_json_and_start_no_run() -> None:
    cases = (
        ({'model': 'nothing', 'prompt': 'x'}, {}, 404, 'not_found'),
        ({'prompt': 'x'}, {}, 400, 'bad_request'),
        (
            {'model': 'furnace', 'prompt': 'x', 'tokens': 3},
            {},
            400,
            'bad_request',
        ),
        ({'model': 'furnace', 'prompt': 'x' * 20_000}, {}, 413, 'too_large'),
        (
            {'model': 'furnace', 'prompt': 'x'},
            {'authorization': 'Bearer wrong'},
            401,
            'unauthenticated',
        ),
        (
            {'model': 'furnace', 'prompt': 'x'},
            {'last-event-id': 'forged'},
            400,
            'bad_cursor',
        ),
    )

    async def scenario() -> None:
        async with _running_deployment() as deployment:
            for body, headers, status, reason in cases:
                response = await deployment.post(body, headers)
                problem = msgspec.json.decode(await response.content())
                assert (response.status_code, problem['reason']) == (
                    status,
                    reason,
                )
                assert problem['ran'] == 'no'
                assert problem['request_id']
            assert not any(
                engine.counts.started for engine in deployment.engines
            )

    asyncio.run(scenario())
