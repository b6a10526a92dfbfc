import asyncio
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest
import uvicorn
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

from bergamotthread.clock import Clock
from bergamotthread.process.http_server import create_http_config
from bergamotthread.process.keys import generate_tls_pair
from bergamotthread.process.settings import (
    EntrySettings,
    KeySettings,
    LimitSettings,
    PlaceSettings,
    PlatformSettings,
)
from bergamotthread.request.refusal import Refusal

_LIMITS = LimitSettings(
    body_bytes=1000,
    held_body_bytes=1500,
    header_bytes=2000,
    header_timeout_ms=60_000,
    body_timeout_ms=60_000,
)
_SHORT_LIMITS = msgspec.structs.replace(
    _LIMITS, header_timeout_ms=50, body_timeout_ms=50
)


async def _echo(scope: Scope, receive: Receive, send: Send) -> None:
    body = await Request(scope, receive).body()
    await Response(body)(scope, receive, send)


def _settings(keys: KeySettings, limits: LimitSettings) -> EntrySettings:
    return EntrySettings(
        place=PlaceSettings('127.0.0.1:0', 'cuyo', 'cuyo-a'),
        listen='127.0.0.1:0',
        platform=PlatformSettings('127.0.0.1:1'),
        keys=keys,
        limits=limits,
    )


async def _with_server(
    talk: Callable[[int], Awaitable[None]],
    app: ASGIApp = _echo,
    keys: KeySettings | None = None,
    limits: LimitSettings = _LIMITS,
) -> list[Refusal]:
    refusals: list[Refusal] = []

    def refuse(refusal: Refusal) -> Refusal:
        refusals.append(refusal)
        return refusal

    config = create_http_config(
        app,
        _settings(keys or KeySettings(), limits),
        Clock.from_system(),
        refuse,
    )
    server = uvicorn.Server(config)
    config.load()
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    port = server.servers[0].sockets[0].getsockname()[1]
    async with asyncio.timeout(10):
        await talk(port)
    await server.shutdown()
    return refusals


async def _send(port: int, *parts: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01)
    received = await reader.read(4096)
    writer.close()
    return received


def _post(length: int) -> bytes:
    return b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % length


_CHUNKED = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('parts', 'expected'),
    [
        ((_post(5), b'he', b'llo'), b'hello'),
        ((b'GET / HTTP/1.1\r\nhost: a\r\n\r\n',), b'200'),
        ((_post(1001),), b'"reason":"too_large"'),
        ((_CHUNKED, b'3e9\r\n' + b'x' * 1001), b'"reason":"too_large"'),
        ((b'GET /' + b'x' * 2100,), b' 431 '),
        ((b'GET / HTTP/1.1\r\n', b'a: ' + b'x' * 2100), b' 431 '),
        ((b'GET / HTTP/1.1\r\n' + b'a: bbbb\r\n' * 300 + b'\r\n',), b' 431 '),
    ],
)
def test_requests_beyond_the_size_limits_are_refused(
    parts: tuple[bytes, ...], expected: bytes
) -> None:
    async def talk(port: int) -> None:
        received = await _send(port, *parts)
        assert expected in received

    refusals = asyncio.run(_with_server(talk))
    assert bool(refusals) == (b'reason' in expected)
    assert all(refusal.ran == 'no' for refusal in refusals)


def test_refusal_reaches_a_caller_that_reads_only_after_sending() -> None:
    body = b'x' * 4_000_000

    async def talk(port: int) -> None:
        received = await _send(port, _post(len(body)), body)
        assert b'"reason":"too_large"' in received

    limits = msgspec.structs.replace(_LIMITS, body_bytes=1_000_000)
    asyncio.run(_with_server(talk, limits=limits))


def test_endless_body_is_cut_off_after_the_refusal() -> None:
    async def talk(port: int) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_post(10**12))
        with pytest.raises(ConnectionError):
            while True:
                writer.write(b'x' * 10_000)
                await writer.drain()

    asyncio.run(_with_server(talk))


@pytest.mark.parametrize(
    ('parts', 'expected'),
    [
        ((_post(9), b'slow'), b'"reason":"deadline"'),
        ((b'GET / HTTP/1.1\r\na: ',), b''),
        ((), b''),
    ],
)
def test_requests_beyond_the_time_limits_are_refused_or_closed(
    parts: tuple[bytes, ...], expected: bytes
) -> None:
    async def talk(port: int) -> None:
        received = await _send(port, *parts)
        assert expected in received
        assert bool(received) == bool(expected)

    refusals = asyncio.run(_with_server(talk, limits=_SHORT_LIMITS))
    assert bool(refusals) == (b'reason' in expected)


def test_total_memory_of_concurrent_bodies_is_bounded() -> None:
    release = asyncio.Event()
    holding = asyncio.Event()

    async def hold(scope: Scope, receive: Receive, send: Send) -> None:
        holding.set()
        await release.wait()
        await _echo(scope, receive, send)

    async def talk(port: int) -> None:
        request = _post(900) + b'x' * 900
        first = asyncio.ensure_future(_send(port, request))
        await holding.wait()
        assert b'"reason":"overloaded"' in await _send(port, request)
        release.set()
        assert b' 200 ' in await first
        assert b' 200 ' in await _send(port, request)

    asyncio.run(_with_server(talk, hold))


def test_server_with_tls_keys_answers_only_over_tls(tmp_path: Path) -> None:
    pair = generate_tls_pair(('127.0.0.1',), 1, Clock.from_system())
    certificate, key = tmp_path / 'a.pem', tmp_path / 'a.key'
    certificate.write_bytes(pair.certificate)
    key.write_bytes(pair.key)
    keys = KeySettings(
        tls_certificate_file=str(certificate), tls_key_file=str(key)
    )

    async def talk(port: int) -> None:
        context = ssl.create_default_context(cafile=certificate)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, ssl=context
        )
        writer.write(_post(2) + b'hi')
        assert b' 200 ' in await reader.read(4096)
        writer.close()
        assert b' 200 ' not in await _send(port, _post(2) + b'hi')

    asyncio.run(_with_server(talk, keys=keys))
