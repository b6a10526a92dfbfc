import asyncio
import socket as sockets
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import zmq

from bergamotthread.clock import Clock
from bergamotthread.connection import outgoing, zmq_transport
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.errors import BergamotError
from bergamotthread.process.settings import KeySettings, PlaceSettings
from bergamotthread.wire.codec import encode_envelope
from bergamotthread.wire.messages import Cancel, Envelope

_CLOCK = Clock.from_system()
_TIMEOUT_S = 10


def _transport(
    address: str = '127.0.0.1:0',
    keys: KeySettings | None = None,
) -> ZmqTransport:
    place = PlaceSettings(address, 'cuyo', 'cuyo-a')
    return ZmqTransport.from_settings(place, keys or KeySettings(), _CLOCK)


def _curve_keys(*accepted: str) -> KeySettings:
    public, secret = zmq.curve_keypair()
    return KeySettings(
        curve_public=public.decode(),
        curve_secret=secret.decode(),
        curve_accepted=accepted,
    )


async def _until(condition: Callable[[], bool]) -> None:
    for _ in range(_TIMEOUT_S * 200):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError('condition never held')


def _run(main: Awaitable[None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            await main

    asyncio.run(bounded())


async def _exchange(one: ZmqTransport, other: ZmqTransport) -> None:
    received: list[Envelope] = []
    one.start(received.append)
    other.start(received.append)
    one.send(other.address, Cancel('g', 1))
    other.send(one.address, Cancel('h', 2))
    await _until(lambda: len(received) == 2)
    assert {(env.sender, env.message) for env in received} == {
        (one.address, Cancel('g', 1)),
        (other.address, Cancel('h', 2)),
    }
    one.close()
    other.close()


@pytest.mark.parametrize('address', ['127.0.0.1:0', '[::1]:0'])
def test_messages_pass_both_ways(address: str) -> None:
    async def main() -> None:
        await _exchange(_transport(address), _transport(address))

    _run(main())


def test_curve_peers_with_accepted_keys_talk() -> None:
    async def main() -> None:
        keys = _curve_keys()
        await _exchange(_transport(keys=keys), _transport(keys=keys))

    _run(main())


def test_burst_keeps_order_and_spans_wake_ups() -> None:
    async def main() -> None:
        count = 3 * zmq_transport.MESSAGES_PER_WAKE_UP
        received: list[Envelope] = []
        one, other = _transport(), _transport()
        other.start(received.append)
        for attempt in range(count):
            one.send(other.address, Cancel('g', attempt))
        await _until(lambda: len(received) == count)
        order = [envelope.message.attempt for envelope in received]
        assert order == list(range(count))
        one.close()
        other.close()

    _run(main())


def test_full_queue_drops_and_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(outgoing, 'SEND_QUEUE_MESSAGES', 5)

    async def main() -> None:
        with sockets.create_server(('127.0.0.1', 0)) as silent:
            peer = f'127.0.0.1:{silent.getsockname()[1]}'
            one = _transport()
            for attempt in range(8):
                one.send(peer, Cancel('g', attempt))
            assert one.counters.sent == 5
            assert one.counters.dropped_by_peer == {peer: 3}
            one.close()

    _run(main())


def test_reconnects_to_a_replaced_peer() -> None:
    async def main() -> None:
        received: list[Envelope] = []
        one, other = _transport(), _transport()
        address = other.address
        other.start(received.append)
        one.send(address, Cancel('g', 1))
        await _until(lambda: len(received) == 1)
        other.close()
        other = _transport(address)
        other.start(received.append)
        while len(received) == 1:
            one.send(address, Cancel('g', 2))
            await asyncio.sleep(0.02)
        one.close()
        other.close()

    _run(main())


def _connect_stranger(
    context: zmq.Context[zmq.Socket[bytes]],
    peer: ZmqTransport,
    server_key: str,
) -> zmq.Socket[bytes]:
    socket = context.socket(zmq.PUSH)
    socket.linger = 0
    if server_key:
        public, secret = zmq.curve_keypair()
        socket.curve_serverkey = server_key.encode()
        socket.curve_publickey, socket.curve_secretkey = public, secret
    socket.connect(f'tcp://{peer.address}')
    socket.send(encode_envelope(Envelope('10.0.0.1:1', 1, Cancel('no', 1))))
    return socket


@pytest.mark.parametrize('knows_server_key', [True, False])
def test_stranger_is_refused(knows_server_key: bool) -> None:
    async def main() -> None:
        received: list[Envelope] = []
        keys = _curve_keys()
        one, friend = _transport(keys=keys), _transport(keys=keys)
        one.start(received.append)
        server_key = keys.curve_public if knows_server_key else ''
        with (
            zmq.Context() as context,
            _connect_stranger(context, one, server_key),
        ):
            await _until(lambda: one.refused_peers >= 1)
            friend.send(one.address, Cancel('friend', 1))
            await _until(lambda: bool(received))
        assert [env.message.generation for env in received] == ['friend']
        one.close()
        friend.close()

    _run(main())


@pytest.mark.parametrize('new_sends', [True, False])
def test_keys_rotate_while_old_and_new_run(new_sends: bool) -> None:
    async def main() -> None:
        received: list[Envelope] = []
        old = _curve_keys()
        new = _curve_keys(old.curve_public)
        old = msgspec.structs.replace(old, curve_accepted=(new.curve_public,))
        one, other = _transport(keys=old), _transport(keys=new)
        sender, receiver = (other, one) if new_sends else (one, other)
        sender.start(received.append)
        receiver.start(received.append)
        while not received:
            sender.send(receiver.address, Cancel('g', 1))
            await asyncio.sleep(0.02)
        one.close()
        other.close()

    _run(main())


def test_garbage_is_counted_and_survived() -> None:
    async def main() -> None:
        received: list[Envelope] = []
        one, other = _transport(), _transport()
        other.start(received.append)
        with zmq.Context() as context, context.socket(zmq.PUSH) as push:
            push.connect(f'tcp://{other.address}')
            push.send(b'garbage')
            await _until(lambda: other.counters.undecodable == 1)
        one.send(other.address, Cancel('g', 1))
        await _until(lambda: len(received) == 1)
        one.close()
        other.close()

    _run(main())


def test_host_name_is_dropped_not_resolved() -> None:
    async def main() -> None:
        one = _transport()
        one.send('localhost:7001', Cancel('g', 1))
        assert one.counters.dropped_by_peer == {'localhost:7001': 1}
        assert one.open_peers == 0
        one.close()

    _run(main())


def test_taken_address_is_one_error() -> None:
    async def main() -> None:
        one = _transport()
        with pytest.raises(BergamotError, match=one.address):
            _transport(one.address)
        one.close()

    _run(main())


def test_idle_peer_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(zmq_transport, 'IDLE_TIMEOUT_MS', 20)

    async def main() -> None:
        one, other = _transport(), _transport()
        one.start(lambda envelope: None)
        one.send(other.address, Cancel('g', 1))
        assert one.open_peers == 1
        await _until(lambda: one.open_peers == 0)
        one.close()
        other.close()

    _run(main())
