"""Replays of decision traces that must give the outcomes of the entry."""

from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from bergamotthread.cli.replay import replay, replay_trace
from bergamotthread.errors import DecodeError
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.generation import FrameVerdict, Generation
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import Frame
from standins.engine_core import EngineSpeed
from standins.small_deployment import AgentNode, SmallDeployment

TRACES = Path(__file__).parent / 'traces'
NAMES = ('engine-death', 'host-death-disorder', 'no-upstream-left')
COUNT = 60


def _replay(name: str) -> tuple[int, str]:
    trace = str(TRACES / f'{name}.jsonl')
    expected = str(TRACES / f'{name}.outcomes.jsonl')
    result = CliRunner().invoke(replay, [trace, '--expect', expected])
    return result.exit_code, result.output


@pytest.mark.parametrize('name', NAMES)
def test_recorded_trace_gives_the_expected_outcomes(name: str) -> None:
    assert _replay(name) == (0, '')


def _append_without_offset(self: Generation, frame: Frame) -> FrameVerdict:
    self.tokens.extend(frame.tokens)
    return (
        FrameVerdict.ACCEPTED if frame.end is None else self._finish(frame.end)
    )


def test_changed_decision_is_reported_as_a_difference(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Generation, '_append', _append_without_offset)
    code, output = _replay('host-death-disorder')
    assert code == 1
    assert 'stated' in output


def test_generation_without_expected_outcome_is_a_difference(
    tmp_path: Path,
) -> None:
    expected = tmp_path / 'none.jsonl'
    expected.write_text('')
    trace = str(TRACES / 'engine-death.jsonl')
    result = CliRunner().invoke(replay, [trace, '--expect', str(expected)])
    assert result.exit_code == 1
    assert 'stated None' in result.output


@pytest.mark.parametrize(
    'body',
    [b'', b'{"event":"header","version":99}\n', b'{"event":"other"}\n'],
)
def test_trace_of_an_unknown_format_is_an_error(body: bytes) -> None:
    with pytest.raises(DecodeError):
        replay_trace(body)


def _host_dies(node: AgentNode) -> None:
    node.engine.die()
    node.kill()


def _all_die(deployment: SmallDeployment, node: AgentNode) -> None:
    for agent in deployment.agents:
        _host_dies(agent)


def _one_engine_dies(_: SmallDeployment, node: AgentNode) -> None:
    node.engine.die()


def _one_host_dies(_: SmallDeployment, node: AgentNode) -> None:
    _host_dies(node)


def _ran(generation: Generation) -> str:
    refusal = generation.refusal
    return '' if refusal is None else str(refusal.ran)


async def _record(
    fault: Callable[[SmallDeployment, AgentNode], None],
    network: MemoryNetwork,
) -> tuple[bytes, dict[str, tuple[str, int, int, str]]]:
    lines: list[bytes] = []
    deployment = SmallDeployment(
        speed=EngineSpeed(stop_at=COUNT),
        network=network,
        trace_writer=lines.append,
    )
    lives = [
        deployment.entries[0].open(
            CompletionRequest('furnace', f'melt {index}', max_tokens=999)
        )[0]
        for index in range(4)
    ]
    await deployment.clock.sleep_ms(300)
    fault(deployment, deployment.node_of(lives[0]))
    for live in lives:
        while not live.generation.is_over:
            live.consumed_tokens = live.generation.offset
            await live.wait_change()
    await deployment.clock.sleep_ms(100)
    recorded = {
        live.generation.spec.generation: (
            str(live.generation.state),
            live.generation.offset,
            live.attempts,
            _ran(live.generation),
        )
        for live in lives
    }
    return b''.join(lines), recorded


@pytest.mark.parametrize('fault', [_one_engine_dies, _one_host_dies, _all_die])
@pytest.mark.parametrize('jitter_ms', [0, 60])
def test_replay_decides_as_the_entry_did(
    fault: Callable[[SmallDeployment, AgentNode], None],
    jitter_ms: float,
) -> None:
    network = MemoryNetwork(jitter_ms=jitter_ms, duplication=0.2, seed=3)
    trace, recorded = run_virtual(_record(fault, network))
    replayed = {
        outcome.generation: (
            outcome.state,
            outcome.tokens,
            outcome.attempts,
            outcome.ran,
        )
        for outcome in replay_trace(trace)
    }
    assert replayed == recorded
    assert b'melt' not in trace
