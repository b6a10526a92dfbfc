"""Command that replays a decision trace and compares the outcomes."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from bergamotthread.errors import BergamotError
from bergamotthread.process.explanations.decision_trace import decode_trace
from bergamotthread.process.explanations.trace_replay import (
    Replay,
    ReplayOutcome,
)

_encode = msgspec.json.Encoder().encode
_decoder = msgspec.json.Decoder(ReplayOutcome)
_READABLE_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command('replay')
@click.argument('trace', type=_READABLE_FILE)
@click.option(
    '--expect',
    type=_READABLE_FILE,
    help='JSON lines with the expected outcome of each generation.',
)
def replay(trace: Path, expect: Path | None) -> None:
    """Replay the decisions of a recorded TRACE; print each outcome.

    With --expect, prints only differences and exits with code 1 if there is
    one.
    """
    try:
        replayed = replay_trace(trace.read_bytes())
        expected = _read_outcomes(expect) if expect else None
    except (BergamotError, msgspec.DecodeError) as error:
        raise click.ClickException(str(error)) from error
    if expected is None:
        for outcome in replayed:
            click.echo(_encode(outcome))
        return
    differences = compare_outcomes(replayed, expected)
    for difference in differences:
        click.echo(difference)
    if differences:
        sys.exit(1)


COMMANDS: tuple[click.Command, ...] = (replay,)


def replay_trace(body: bytes) -> tuple[ReplayOutcome, ...]:
    """Return the outcome of each generation of a trace."""
    decisions = Replay()
    for record in decode_trace(body):
        decisions.apply(record)
    return decisions.outcomes()


def compare_outcomes(
    decided: tuple[ReplayOutcome, ...],
    stated: tuple[ReplayOutcome, ...],
) -> list[str]:
    """Return one line for each generation whose outcomes differ."""
    decided_by_id = {outcome.generation: outcome for outcome in decided}
    stated_by_id = {outcome.generation: outcome for outcome in stated}
    differences = []
    for identity in sorted(decided_by_id.keys() | stated_by_id.keys()):
        replayed = decided_by_id.get(identity)
        expected = stated_by_id.get(identity)
        if replayed != expected:
            differences.append(f'{identity}: {replayed}, stated {expected}')
    return differences


def _read_outcomes(path: Path) -> tuple[ReplayOutcome, ...]:
    return tuple(map(_decoder.decode, path.read_bytes().splitlines()))
