"""End-to-end tests: separate processes, some killed or stopped midway."""

import asyncio
import re
import signal
import urllib.request

import msgspec
import pytest
from aiosonic import HTTPClient

from standins.tokens import verify_answer
from standins.users import TERMOLAB
from tests.processes import Deployment, Processes

MAX_TOKENS = 150
HEADERS = {
    'authorization': f'Bearer {TERMOLAB.credential(TERMOLAB.teams[0])}',
}


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    processes = Processes(tmp_path_factory.mktemp('processes'))
    running = Deployment(processes)
    try:
        running.start()
        yield running
    finally:
        processes.close()


def _completion_text(events: bytes) -> str:
    """Return the text of completion events; fail on any other event."""
    text = ''
    for line in events.decode().splitlines():
        if line.startswith('data: {'):
            body = msgspec.json.decode(line[6:])
            assert 'choices' in body, body
            text += body['choices'][0]['text']
    return text


async def _stream_completion(
    listen: str, prompt: str, on_first, headers=None
) -> bytes:
    """Stream a completion and return its bytes.

    `on_first` is called once, with the bytes so far, after the first events.
    """
    received = b''
    is_called = False
    async with HTTPClient() as client:
        response = await client.request(
            f'http://{listen}/v1/completions',
            method='POST',
            headers={**HEADERS, **(headers or {})},
            data=msgspec.json.encode(
                {
                    'model': TERMOLAB.model,
                    'prompt': prompt,
                    'max_tokens': MAX_TOKENS,
                    'stream': True,
                },
            ),
            stream=True,
        )
        async for chunk in response.read_chunks():
            received += chunk
            if not is_called and received.count(b'id: ') > 5:
                is_called = True
                on_first(received)
    return received


def _running_engine_index(deployment: Deployment) -> int:
    """Return the index of the engine that runs the only generation."""
    for index, address in enumerate(deployment.engine_addresses):
        if deployment.processes.by_name[f'engine{index}'].poll() is not None:
            continue
        with urllib.request.urlopen(f'http://{address}/running') as response:
            if int(response.read()):
                return index
    raise AssertionError('no engine runs a generation')


@pytest.mark.parametrize('victim', ['engine', 'agent'])
def test_stream_survives_killed_engine_or_agent(
    deployment: Deployment,
    victim: str,
) -> None:
    """A process killed midway neither cuts the stream nor changes its text."""

    def kill(_: bytes) -> None:
        index = _running_engine_index(deployment)
        deployment.processes.kill(f'{victim}{index}')

    prompt = f'{TERMOLAB.prompt} {victim} killed'
    events = asyncio.run(
        _stream_completion(deployment.listen_addresses[0], prompt, kill)
    )
    verify_answer(prompt, _completion_text(events), MAX_TOKENS)


def test_call_with_idempotency_key_runs_once(deployment: Deployment) -> None:
    """The same key at both entries at once must not run the call twice."""

    async def call(listen: str) -> bytes:
        async with HTTPClient() as client:
            response = await client.request(
                f'http://{listen}/v1/services/portal/certificates',
                method='POST',
                headers={**HEADERS, 'idempotency-key': 'batch-17'},
                data=b'{"batch": 17}',
            )
            return await response.content()

    async def call_both() -> list[bytes]:
        return await asyncio.gather(*map(call, deployment.listen_addresses))

    asyncio.run(call_both())
    answers = {
        asyncio.run(call(listen)) for listen in deployment.listen_addresses
    }
    assert answers == {b'{"key":"batch-17","runs":1}'}


async def _refused_request_id(listen: str) -> str:
    """Send a request for a missing model; return the refused request's id."""
    async with HTTPClient() as client:
        response = await client.request(
            f'http://{listen}/v1/completions',
            method='POST',
            headers=HEADERS,
            data=b'{"model": "nothing", "prompt": "x"}',
        )
        return msgspec.json.decode(await response.content())['request_id']


async def _fetch_explanation(listen: str, request_id: str, tries: int) -> dict:
    """Return the explanation of a request, asked for up to `tries` times."""
    url = f'http://{listen}/v1/explanations/{request_id}'
    async with HTTPClient() as client:
        for _ in range(tries):
            response = await client.get(url, headers=HEADERS)
            body = msgspec.json.decode(await response.content())
            if response.status_code == 200:
                return body
            await asyncio.sleep(0.2)
    raise AssertionError(body)


def test_refusal_is_explained_through_another_entry(
    deployment: Deployment,
) -> None:
    """An explanation written by one entry must be readable at the other."""
    request_id = asyncio.run(
        _refused_request_id(deployment.listen_addresses[0])
    )
    body = asyncio.run(
        _fetch_explanation(deployment.listen_addresses[1], request_id, 100)
    )
    assert body['reason'] == 'not_found'
    assert body['ran'] == 'no'


def test_stopped_entry_finishes_its_stream(deployment: Deployment) -> None:
    """SIGTERM must neither cut a stream nor lose an unwritten explanation."""
    process = deployment.processes.by_name['entry1']

    def stop(_: bytes) -> None:
        process.send_signal(signal.SIGTERM)

    request_id = asyncio.run(
        _refused_request_id(deployment.listen_addresses[1])
    )
    prompt = f'{TERMOLAB.prompt} entry stopped'
    events = asyncio.run(
        _stream_completion(deployment.listen_addresses[1], prompt, stop)
    )
    verify_answer(prompt, _completion_text(events), MAX_TOKENS)
    assert process.wait(30) == 0
    body = asyncio.run(
        _fetch_explanation(deployment.listen_addresses[0], request_id, 1)
    )
    assert body['reason'] == 'not_found'


def test_stream_resumes_from_cursor_after_entry_is_killed(
    deployment: Deployment,
) -> None:
    """A caller reconnects with its last event id at the other entry.

    The rest must follow the received text without a gap or a repeated token.
    """
    prompt = f'{TERMOLAB.prompt} entry killed'
    received_parts: list[bytes] = []

    def kill(received: bytes) -> None:
        received_parts.append(received[: received.rindex(b'\n\n') + 2])
        deployment.processes.kill('entry0')

    with pytest.raises(Exception):  # noqa: B017, PT011
        asyncio.run(
            _stream_completion(deployment.listen_addresses[0], prompt, kill)
        )
    deployment.restart_entry(1)
    cursor = re.findall(rb'id: (\S+)', received_parts[0])[-1].decode()
    rest = asyncio.run(
        _stream_completion(
            deployment.listen_addresses[1],
            prompt,
            lambda _: None,
            {'last-event-id': cursor},
        ),
    )
    verify_answer(
        prompt,
        _completion_text(received_parts[0]) + _completion_text(rest),
        MAX_TOKENS,
    )
