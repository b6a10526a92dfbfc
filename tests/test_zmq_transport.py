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


async def _exchange(first: ZmqTransport, second: ZmqTransport) -> None:
    received: list[Envelope] = []
    first.start(received.append)
    second.start(received.append)
    first.send(second.address, Cancel('g', 1))
    second.send(first.address, Cancel('h', 2))
    await _until(lambda: len(received) == 2)
    assert {(env.sender, env.message) for env in received} == {
        (first.address, Cancel('g', 1)),
        (second.address, Cancel('h', 2)),
    }
    first.close()
    second.close()


@pytest.mark.parametrize('address', ['127.0.0.1:0', '[::1]:0'])
def test_messages_are_sent_in_both_directions(address: str) -> None:
    async def main() -> None:
        await _exchange(_transport(address), _transport(address))

    _run(main())


def test_peers_with_accepted_curve_keys_exchange_messages() -> None:
    async def main() -> None:
        keys = _curve_keys()
        await _exchange(_transport(keys=keys), _transport(keys=keys))

    _run(main())


def test_burst_of_several_wake_ups_keeps_its_order() -> None:
    async def main() -> None:
        count = 3 * zmq_transport.MESSAGES_PER_WAKE_UP
        received: list[Envelope] = []
        sender, receiver = _transport(), _transport()
        receiver.start(received.append)
        for attempt in range(count):
            sender.send(receiver.address, Cancel('g', attempt))
        await _until(lambda: len(received) == count)
        order = [envelope.message.attempt for envelope in received]
        assert order == list(range(count))
        sender.close()
        receiver.close()

    _run(main())


def test_messages_beyond_a_full_queue_are_dropped_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(outgoing, 'SEND_QUEUE_MESSAGES', 5)

    async def main() -> None:
        with sockets.create_server(('127.0.0.1', 0)) as silent:
            peer = f'127.0.0.1:{silent.getsockname()[1]}'
            transport = _transport()
            for attempt in range(8):
                transport.send(peer, Cancel('g', attempt))
            assert transport.counters.sent == 5
            assert transport.counters.dropped_by_peer == {peer: 3}
            transport.close()

    _run(main())


def test_reconnects_to_a_replaced_peer() -> None:
    async def main() -> None:
        received: list[Envelope] = []
        sender, receiver = _transport(), _transport()
        address = receiver.address
        receiver.start(received.append)
        sender.send(address, Cancel('g', 1))
        await _until(lambda: len(received) == 1)
        receiver.close()
        receiver = _transport(address)
        receiver.start(received.append)
        while len(received) == 1:
            sender.send(address, Cancel('g', 2))
            await asyncio.sleep(0.02)
        sender.close()
        receiver.close()

    _run(main())


def _connect_unknown_peer(
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
def test_peer_without_an_accepted_key_is_refused(
    knows_server_key: bool,
) -> None:
    async def main() -> None:
        received: list[Envelope] = []
        keys = _curve_keys()
        receiver, friend = _transport(keys=keys), _transport(keys=keys)
        receiver.start(received.append)
        server_key = keys.curve_public if knows_server_key else ''
        with (
            zmq.Context() as context,
            _connect_unknown_peer(context, receiver, server_key),
        ):
            await _until(lambda: receiver.refused_peers >= 1)
            friend.send(receiver.address, Cancel('friend', 1))
            await _until(lambda: bool(received))
        assert [env.message.generation for env in received] == ['friend']
        receiver.close()
        friend.close()

    _run(main())


@pytest.mark.parametrize('new_sends', [True, False])
def test_old_and_new_keys_work_together_during_a_rotation(
    new_sends: bool,
) -> None:
    async def main() -> None:
        received: list[Envelope] = []
        old = _curve_keys()
        new = _curve_keys(old.curve_public)
        old = msgspec.structs.replace(old, curve_accepted=(new.curve_public,))
        old_transport, new_transport = (
            _transport(keys=old),
            _transport(keys=new),
        )
        sender, receiver = (
            (new_transport, old_transport)
            if new_sends
            else (old_transport, new_transport)
        )
        sender.start(received.append)
        receiver.start(received.append)
        while not received:
            sender.send(receiver.address, Cancel('g', 1))
            await asyncio.sleep(0.02)
        old_transport.close()
        new_transport.close()

    _run(main())


def test_undecodable_message_is_counted_and_later_ones_arrive() -> None:
    async def main() -> None:
        received: list[Envelope] = []
        sender, receiver = _transport(), _transport()
        receiver.start(received.append)
        with zmq.Context() as context, context.socket(zmq.PUSH) as push:
            push.connect(f'tcp://{receiver.address}')
            push.send(b'garbage')
            await _until(lambda: receiver.counters.undecodable == 1)
        sender.send(receiver.address, Cancel('g', 1))
        await _until(lambda: len(received) == 1)
        sender.close()
        receiver.close()

    _run(main())


def test_message_to_a_host_name_is_dropped() -> None:
    async def main() -> None:
        transport = _transport()
        transport.send('localhost:7001', Cancel('g', 1))
        assert transport.counters.dropped_by_peer == {'localhost:7001': 1}
        assert transport.open_peers == 0
        transport.close()

    _run(main())


def test_bind_error_names_the_taken_address() -> None:
    async def main() -> None:
        transport = _transport()
        with pytest.raises(BergamotError, match=transport.address):
            _transport(transport.address)
        transport.close()

    _run(main())


def test_socket_of_an_idle_peer_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(zmq_transport, 'IDLE_TIMEOUT_MS', 20)

    async def main() -> None:
        sender, receiver = _transport(), _transport()
        sender.start(lambda envelope: None)
        sender.send(receiver.address, Cancel('g', 1))
        assert sender.open_peers == 1
        await _until(lambda: sender.open_peers == 0)
        sender.close()
        receiver.close()

    _run(main())
