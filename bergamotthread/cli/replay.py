"""Command that replays a decision trace against stated outcomes."""

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
    help='JSON lines with the outcome of each generation.',
)
def replay(trace: Path, expect: Path | None) -> None:
    """Decide a recorded TRACE anew and print how each generation ends.

    With --expect, print only differences and exit with 1 if there is one.
    """
    try:
        decided = replay_trace(trace.read_bytes())
        stated = _stated(expect) if expect else None
    except (BergamotError, msgspec.DecodeError) as error:
        raise click.ClickException(str(error)) from error
    if stated is None:
        for outcome in decided:
            click.echo(_encode(outcome))
        return
    differences = compare_outcomes(decided, stated)
    for difference in differences:
        click.echo(difference)
    if differences:
        sys.exit(1)


COMMANDS: tuple[click.Command, ...] = (replay,)


def replay_trace(body: bytes) -> tuple[ReplayOutcome, ...]:
    """Return how each generation of a trace ends."""
    decisions = Replay()
    for record in decode_trace(body):
        decisions.apply(record)
    return decisions.outcomes()


def compare_outcomes(
    decided: tuple[ReplayOutcome, ...],
    stated: tuple[ReplayOutcome, ...],
) -> list[str]:
    """Return one line for each generation whose outcomes differ."""
    decided_by_id = {one.generation: one for one in decided}
    stated_by_id = {one.generation: one for one in stated}
    differences = []
    for identity in sorted(decided_by_id.keys() | stated_by_id.keys()):
        ours = decided_by_id.get(identity)
        theirs = stated_by_id.get(identity)
        if ours != theirs:
            differences.append(f'{identity}: {ours}, stated {theirs}')
    return differences


def _stated(path: Path) -> tuple[ReplayOutcome, ...]:
    return tuple(map(_decoder.decode, path.read_bytes().splitlines()))
