"""Streams that stall though bytes arrive, and slow ones that are sound."""

from __future__ import annotations

import pytest

from bergamotthread.testing.memory_http import run_in_memory
from tests.platform_standins import Deployment

KEEP_ALIVES = [
    b': still here\n\n',
    b'event: ping\n\n',
    b'data: ping\n\n',
    b': x\n',
]


# Guards against a stalled stream that a byte now and then keeps for ever.
@pytest.mark.parametrize('sent', KEEP_ALIVES)
def test_stalled_stream_that_sends_bytes_resumes_elsewhere(sent):
    async def check():
        deployment = await Deployment.start()
        for model in deployment.models:
            model.script.stalls_after = 10
            model.script.keeps_alive_with = sent
            model.script.copies = {
                f'{other.address}/r1' for other in deployment.models
            }
        answer = await deployment.call('/stream/x')
        assert deployment.ran(deployment.models) > 1
        assert answer.event_ids[:20] == list(range(1, 21))
        stalled_ms = min(
            seen.ended_ms - seen.at_ms
            for model in deployment.models
            for seen in model.seen
        )
        assert stalled_ms < 4000

    run_in_memory(check())


# Guards against a prefill that is taken for a stall since a comment came.
def test_comment_before_the_first_event_is_no_event():
    async def check():
        deployment = await Deployment.start()
        for model in deployment.models:
            model.script.keeps_alive_with = b': queued\n\n'
            model.script.keep_alive_ms = 2000
            model.script.prefill_ms = 3500
        answer = await deployment.call('/stream/x')
        assert answer.is_whole
        assert answer.event_ids == list(range(1, 61))
        assert deployment.ran(deployment.models) == 1

    run_in_memory(check())


def test_slow_but_sound_stream_stays_at_its_upstream():
    async def check():
        deployment = await Deployment.start()
        for model in deployment.models:
            model.script.event_ms = 1500
            model.script.events = 8
        answer = await deployment.call('/stream/x')
        assert answer.is_whole
        assert answer.event_ids == list(range(1, 9))
        assert deployment.ran(deployment.models) == 1

    run_in_memory(check())


def test_stalled_stream_that_may_not_resume_ends_at_its_deadline():
    async def check():
        deployment = await Deployment.start(models=1)
        script = deployment.models[0].script
        script.stalls_after = 10
        script.keeps_alive_with = b': still here\n\n'
        began_ms = deployment.clock.now_ms()
        answer = await deployment.call('/once-stream/x', remaining_ms=5000)
        assert not answer.is_whole
        assert deployment.clock.now_ms() - began_ms < 5500

    run_in_memory(check())
