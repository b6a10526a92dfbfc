"""Warm standbys: used after a loss unless the standby was lost as well."""

import pytest

from benchmarks.resume_policy import SITES, object_set
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ResumeMode, ResumePolicy
from standins.engine_core import EngineSpeed
from standins.small_deployment import SmallDeployment

POLICY = ResumePolicy(mode=ResumeMode.WARM_STANDBY, standby_after_tokens=1)
COUNT = 200


@pytest.mark.parametrize('standby_dies', [False, True])
def test_lost_standby_costs_no_attempt(standby_dies: bool) -> None:
    """The agent dies, alone or at the same time as its standby."""

    async def scenario() -> None:
        deployment = SmallDeployment(
            agent_count=12,
            objects=object_set(SITES[1], POLICY),
            entry_region='home',
            speed=EngineSpeed(stop_at=COUNT),
        )
        lives = [
            deployment.entries[0].open(
                CompletionRequest('furnace', f'melt {index}', max_tokens=999)
            )[0]
            for index in range(12)
        ]
        await deployment.clock.sleep_ms(600)
        first = lives[0]
        standby = first.standby
        assert standby in {live.generation.place.agent for live in lives}
        lost = {first.generation.place.agent}
        if standby_dies:
            lost.add(standby)
        for node in deployment.agents:
            if node.transport.address in lost:
                node.kill()
                node.engine.die()
        for live in lives:
            while not live.generation.is_over:
                live.consumed_tokens = live.generation.offset
                await live.wait_change()
            assert live.generation.refusal is None
            assert live.attempts <= 2
        is_at_standby = first.generation.place.agent == standby
        assert is_at_standby is not standby_dies

    run_virtual(scenario())
