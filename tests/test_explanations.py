import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from starlette.applications import Starlette

from bergamotthread.clock import Clock
from bergamotthread.errors import DecodeError, Step, StoreUnavailableError
from bergamotthread.process.explanations import (
    explanations as explanations_module,
)
from bergamotthread.process.explanations.explanation_batch import (
    RequestId,
    decode_batch,
)
from bergamotthread.process.explanations.explanation_metrics import (
    add_explanation_metrics,
)
from bergamotthread.process.explanations.explanation_routes import (
    explanation_routes,
)
from bergamotthread.process.explanations.explanations import (
    Explanations,
    describe_missing,
)
from bergamotthread.process.keys import hash_credential
from bergamotthread.process.metrics import Metrics
from bergamotthread.request.refusal import Ran, ReasonCode, Refusal
from bergamotthread.testing.asgi_call import call_get
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet, Operator, Team
from bergamotthread.version.published import PublishedVersion


class _Harness:
    """A running writer and readers on the same platform."""

    def __init__(self) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.platform = MemoryPlatform(self.clock)
        self.writer = self.process('writer')
        self.task = asyncio.ensure_future(self.writer.run())

    def process(self, writer_id: str) -> Explanations:
        objects = MemoryObjectStore(self.platform)
        return Explanations(objects, self.clock, writer_id)

    def refuse(self, team: str = 'foundry', request_id: str = '') -> str:
        refusal = Refusal(
            reason=ReasonCode.OVER_LIMIT,
            detail='12 requests/s, expected at most 10',
            step=Step.ADMIT,
            ran=Ran.NOT_RUN,
            request_id=request_id,
            team=team,
            figures={'requests_per_s': 12},
        )
        return self.writer.record(refusal).request_id


def _run(main: Callable[[_Harness], Awaitable[None]]) -> None:
    async def with_harness() -> None:
        harness = _Harness()
        await main(harness)
        harness.task.cancel()

    run_virtual(with_harness())


def test_refusal_is_found_by_another_process_after_its_writer_ended() -> None:
    async def main(harness: _Harness) -> None:
        request_id = harness.refuse()
        await harness.clock.sleep_ms(1500)
        harness.task.cancel()
        found = await harness.process('other').find(request_id, 'foundry')
        assert found is not None
        assert found.figures == {'requests_per_s': 12}
        assert harness.platform.reads == 1

    _run(main)


def test_writer_finds_a_refusal_that_is_not_written_yet() -> None:
    async def main(harness: _Harness) -> None:
        harness.platform.faults.down = True
        request_id = harness.refuse()
        assert await harness.writer.find(request_id, 'foundry')
        await harness.clock.sleep_ms(1500)
        assert await harness.writer.find(request_id, 'foundry')

    _run(main)


@pytest.mark.parametrize('team', ['trench', ''])
def test_refusal_of_another_team_is_not_found(team: str) -> None:
    async def main(harness: _Harness) -> None:
        own, without_team = harness.refuse(), harness.refuse(team='')
        await harness.clock.sleep_ms(1500)
        other = harness.process('other')
        assert await other.find(own, team) is None
        assert await other.find(without_team, team) is None
        assert await other.find_for_operator(without_team)

    _run(main)


def test_many_refusals_are_written_in_few_batches() -> None:
    async def main(harness: _Harness) -> None:
        ids = []
        for _ in range(600):
            ids.append(harness.refuse())
            await harness.clock.sleep_ms(100)
        await harness.clock.sleep_ms(20_000)
        assert harness.platform.writes <= 8
        assert harness.writer.counters.written == 600
        other = harness.process('other')
        assert await other.find(ids[0], 'foundry')
        assert await other.find(ids[-1], 'foundry')

    _run(main)


def test_id_is_replaced_if_it_is_used_or_its_batch_is_closed() -> None:
    async def main(harness: _Harness) -> None:
        early = harness.writer.new_request_id()
        late = harness.writer.new_request_id()
        assert harness.refuse(request_id=early) == early
        assert harness.refuse(request_id=early) != early
        await harness.clock.sleep_ms(1500)
        returned_id = harness.refuse(request_id=late)
        await harness.clock.sleep_ms(20_000)
        assert returned_id != late
        assert await harness.process('other').find(returned_id, 'foundry')

    _run(main)


@pytest.mark.parametrize('lost_answers', [1, 2, 5])
def test_retries_after_lost_answers_write_one_object(lost_answers: int) -> None:
    async def main(harness: _Harness) -> None:
        harness.platform.faults.lost_answers = lost_answers
        request_id = harness.refuse()
        await harness.clock.sleep_ms(200_000)
        assert len(harness.platform.bodies_by_name) == 1
        assert harness.writer.counters.written == 1
        assert harness.writer.counters.failed_writes == lost_answers
        assert await harness.process('other').find(request_id, 'foundry')

    _run(main)


def test_outage_of_an_hour_loses_no_refusals_below_the_limit() -> None:
    async def main(harness: _Harness) -> None:
        harness.platform.faults.down = True
        ids = []
        for _ in range(3600):
            ids.append(harness.refuse())
            await harness.clock.sleep_ms(1000)
        harness.platform.faults.down = False
        await harness.clock.sleep_ms(60_000)
        other = harness.process('other')
        for request_id in ids[::400]:
            assert await other.find(request_id, 'foundry')
        assert (harness.writer.counters.lost, harness.writer.kept_count) == (
            0,
            0,
        )
        assert harness.platform.writes < 300

    _run(main)


@pytest.mark.parametrize(
    ('limit', 'bound'),
    [('MAX_KEPT_REFUSALS', 5), ('MAX_KEPT_BYTES', 1000)],
)
def test_full_buffer_keeps_the_oldest_and_reports_the_loss(
    monkeypatch: pytest.MonkeyPatch, limit: str, bound: int
) -> None:
    monkeypatch.setattr(explanations_module, limit, bound)

    async def main(harness: _Harness) -> None:
        harness.platform.faults.down = True
        ids = [harness.refuse() for _ in range(20)]
        kept, lost = ids[:5], ids[-1]
        assert lost.endswith('-lost')
        assert 'buffer' in describe_missing(lost)
        metrics = Metrics(harness.clock)
        add_explanation_metrics(metrics, harness.writer)
        assert 'explanations_lost 1' in metrics.expose()
        harness.platform.faults.down = False
        await harness.writer.flush()
        (encoded,) = harness.platform.bodies_by_name.values()
        batch = decode_batch(encoded, 'batch')
        assert sum(batch.lost_by_reason.values()) >= 14
        assert list(batch.refusals_by_id)[:4] == kept[:4]
        assert await harness.process('other').find(lost, 'foundry') is None

    _run(main)


def test_failed_flush_raises_and_keeps_the_refusals() -> None:
    async def main(harness: _Harness) -> None:
        harness.platform.faults.down = True
        harness.refuse()
        with pytest.raises(StoreUnavailableError):
            await harness.writer.flush()
        assert harness.writer.kept_count == 1

    _run(main)


def test_refusals_are_lost_if_the_object_name_is_taken() -> None:
    async def main(harness: _Harness) -> None:
        name = RequestId('writer', 0, None).object_name
        harness.platform.bodies_by_name[name] = b'other'
        request_id = harness.refuse()
        await harness.clock.sleep_ms(1500)
        assert harness.writer.counters.lost == 1
        with pytest.raises(DecodeError, match=name):
            await harness.process('other').find(request_id, 'foundry')

    _run(main)


@pytest.mark.parametrize(
    ('credential', 'status'),
    [('one', 200), ('operator', 200), ('two', 404), ('none', 401)],
)
def test_route_answers_the_own_team_and_operators_only(
    credential: str, status: int
) -> None:
    published = PublishedVersion.from_object_set(
        3,
        ObjectSet(
            teams=(
                Team('foundry', (hash_credential('one'),)),
                Team('trench', (hash_credential('two'),)),
            ),
            operators=(Operator('ana', (hash_credential('operator'),)),),
        ),
    )

    async def main(harness: _Harness) -> None:
        request_id = harness.refuse()
        routes = explanation_routes(harness.writer, lambda: published)
        answer = await call_get(
            Starlette(routes=list(routes)),
            f'/v1/explanations/{request_id}',
            {'Authorization': f'Bearer {credential}'},
        )
        assert answer.status == status
        found = json.loads(answer.body).get('reason')
        assert (found == 'over_limit') == (status == 200)

    _run(main)


def test_route_in_an_outage_answers_with_a_retry_time() -> None:
    published = PublishedVersion.from_object_set(
        3, ObjectSet(teams=(Team('foundry', (hash_credential('one'),)),))
    )

    async def main(harness: _Harness) -> None:
        harness.platform.faults.down = True
        routes = explanation_routes(harness.writer, lambda: published)
        answer = await call_get(
            Starlette(routes=list(routes)),
            '/v1/explanations/req-other-0-1',
            {'Authorization': 'Bearer one'},
        )
        assert answer.status == 503
        assert json.loads(answer.body)['retry_after_ms'] > 0

    _run(main)


@given(text=st.text(max_size=60) | st.from_regex(r'req-.{0,9}-.{0,9}-.{0,9}'))
def test_any_text_is_an_id_or_none(text: str) -> None:
    identity = RequestId.from_text(text)
    if identity is not None:
        assert RequestId.from_text(str(identity)) == identity
        assert '..' not in identity.object_name
    assert describe_missing(text)


@given(encoded=st.binary(max_size=80))
def test_damaged_batch_is_a_clear_error(encoded: bytes) -> None:
    with pytest.raises(DecodeError, match='object damaged'):
        decode_batch(encoded, 'damaged')
