"""Messages of other entries that are invalid, cut or changed do no harm."""

from __future__ import annotations

import random

import msgspec
import pytest

from bergamotthread.platform.build_relay import BUILDS_PATH
from bergamotthread.platform.lease_relay import LEASE_PATH
from bergamotthread.platform.leaving_relay import LEAVING_PATH
from bergamotthread.platform.limit_relay import LIMITS_PATH
from bergamotthread.platform.poison_relay import POISON_PATH
from bergamotthread.testing.memory_http import run_in_memory
from bergamotthread.wire.codec import encode_envelope
from bergamotthread.wire.messages import (
    Envelope,
    GrantedShare,
    ShareDemand,
    ShareGrants,
    ShareRequests,
)
from tests.platform_standins import Deployment, settings

PEER = '10.1.0.2:7001'
CHANGES = 300


def _envelope(message) -> bytes:
    return encode_envelope(Envelope(PEER, 1, message))


VALID = {
    LEASE_PATH: (
        _envelope(ShareRequests(1, (ShareDemand('p0@1', 0.5, 0.1, 0.3),))),
        _envelope(ShareGrants(1, 3000, (GrantedShare('p0@1', 0.5),))),
    ),
    BUILDS_PATH: (
        msgspec.msgpack.encode(['_Told', {'v1': [1, 2**63], 'v2': [3]}]),
        msgspec.msgpack.encode(['_Asked', 'model-service', 1]),
    ),
    LIMITS_PATH: (
        b'{"host":"h","limits":[["p0",1,1.5,20],["p1",2,null,0]],'
        b'"forward":true}',
    ),
    LEAVING_PATH: (b'{"host":"h","leaving":[["p0",1]]}',),
    POISON_PATH: (
        b'{"host":"h","deaths":[[1,"a-1",5,[[1,2]],[[3]],9]],'
        b'"cleared":[1],"quarantines":[[7,3,500]]}',
    ),
}


def _changed(rng: random.Random, valid: bytes) -> bytes:
    """Return a message with bytes changed, cut off, doubled or inserted."""
    changed = bytearray(valid)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(changed) + 1)
        match rng.randrange(4):
            case 0:
                del changed[at:]
            case 1:
                changed[at:at] = rng.randbytes(rng.randint(1, 9))
            case 2:
                changed[at : at + 1] = rng.randbytes(1)
            case _:
                changed += changed[at : at + 40]
    return bytes(changed)


@pytest.mark.parametrize('path', VALID)
@pytest.mark.parametrize('seed', range(3))
def test_changed_messages_are_refused_or_do_no_harm(path, seed):
    async def check():
        deployment = await Deployment.start(plains=2)
        await deployment.add_entry(settings('edge-b-2', 'b-1', 2))
        await deployment.clock.sleep_ms(1500)
        answer_by_path = {}
        entry = deployment.entries[0]
        for part in (
            entry._crashes,
            entry._limit_parts,
            entry._build_relay,
            entry._limit_relay,
            entry._leaving_relay,
        ):
            answer_by_path.update(part.answer_by_path)
        answer_message = answer_by_path[path]
        rng = random.Random(f'{seed} {path!r}')
        for valid in VALID[path]:
            assert answer_message(b'POST', valid) is not None
            for _ in range(CHANGES):
                answered = answer_message(b'POST', _changed(rng, valid))
                assert answered is None or isinstance(answered, bytes)
        assert answer_message(b'POST', b'') is None
        await deployment.clock.sleep_ms(2000)
        assert not deployment.tasks[0].done()
        answer = await deployment.call('/open/x', method=b'GET')
        assert answer.status in {200, 503}

    run_in_memory(check())
