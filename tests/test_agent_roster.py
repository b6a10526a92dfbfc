from bergamotthread.clock import Clock
from bergamotthread.process.routing.agent_roster import AgentRoster
from bergamotthread.version.objects import (
    FailureDomain,
    ObjectSet,
    Region,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Pin


def _version(*agents: str) -> PublishedVersion:
    return PublishedVersion.from_object_set(
        1,
        ObjectSet(
            regions=(Region('r0'),),
            failure_domains=(FailureDomain('d0', 'r0'),),
            upstreams=tuple(
                Upstream(agent, agent, 'd0', (Pin('m', '1'), Pin('m', '2')))
                for agent in agents
            ),
        ),
    )


def test_published_agents_by_model() -> None:
    roster = AgentRoster(Clock(lambda: 0, lambda: 0))
    roster.apply_version(_version('a', 'b'))
    assert [place.address for place in roster.places('m')] == ['a', 'b']
    assert [place.region for place in roster.places('m')] == ['r0', 'r0']
    assert roster.places('other') == ()


def test_frames_of_old_processes_and_unpublished_agents_are_ignored() -> None:
    roster = AgentRoster(Clock(lambda: 5, lambda: 0))
    roster.apply_version(_version('a', 'b'))
    assert roster.record_frame('a', 2)
    assert not roster.record_frame('a', 1)
    assert not roster.record_frame('c', 1)
    assert roster.silent_agents(['a', 'b'], 1000) == {'b'}
    roster.apply_version(_version('b'))
    roster.apply_version(_version('a'))
    assert roster.record_frame('a', 1)
