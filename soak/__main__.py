"""Run a soak: `python -m soak --seed N --minutes M --processes K`."""

from __future__ import annotations

import sys
from collections import Counter
from functools import partial

import click

from bergamotthread.testing.termination import run_until_signal
from soak.checks import findings_of
from soak.findings import Finding
from soak.plan import Fault, FaultKind, Plan, shrink
from soak.records import Ending, Records
from soak.session import Soak

_SHOWN_MAX = 10
_LINES_MAX = 20
# Rules whose findings are explained by the lines about roll-outs.
_ROLLOUT_RULES = frozenset(('rollouts', 'exposure'))


@click.command()
@click.option('--seed', type=click.IntRange(min=0), required=True)
@click.option('--minutes', type=click.FloatRange(0.1, 600), default=1.0)
@click.option('--processes', type=click.IntRange(6, 400), default=9)
@click.option(
    '--kinds',
    default='',
    help='Kinds of fault to draw from, by commas; all if empty.',
)
@click.option('--seeds', type=click.IntRange(1, 500), default=1)
@click.option('--shrinks', is_flag=True, help='Leave out needless faults.')
def main(
    seed: int,
    minutes: float,
    processes: int,
    kinds: str,
    seeds: int,
    shrinks: bool,
) -> None:
    """Play faults against the real programs and check what they promise."""
    drawn = _kinds(kinds)
    failed = False
    for plan_seed in range(seed, seed + seeds):
        plan = Plan.from_seed(plan_seed, minutes * 60, processes, drawn)
        findings = _report(plan)
        if findings and shrinks:
            _show_fewer(plan, findings)
        failed = failed or bool(findings)
    sys.exit(1 if failed else 0)


def _kinds(names: str) -> tuple[FaultKind, ...]:
    if not names:
        return ()
    valid = ', '.join(FaultKind)
    try:
        return tuple(FaultKind(name.strip()) for name in names.split(','))
    except ValueError as error:
        raise click.BadParameter(f'{error}; valid ones: {valid}') from error


def _play(plan: Plan) -> tuple[Soak, Records]:
    return run_until_signal(_play_plan(plan))


async def _play_plan(plan: Plan) -> tuple[Soak, Records]:
    soak = Soak(plan)
    return soak, await soak.run()


def _report(plan: Plan) -> list[Finding]:
    """Play a plan, print the result and return the findings."""
    soak, records = _play(plan)
    findings = findings_of(records)
    _show_counts(plan, records)
    _show_rollouts(records)
    click.echo(f'  {len(findings)} findings')
    if findings:
        _show(plan, soak, findings)
    return findings


def _show_counts(plan: Plan, records: Records) -> None:
    count_by_kind = Counter(call.kind.name for call in records.calls)
    kinds = ', '.join(
        f'{name.lower()} {count}' for name, count in count_by_kind.items()
    )
    whole_count = sum(call.ending is Ending.WHOLE for call in records.calls)
    click.echo(
        f'seed {plan.seed}: {len(records.calls)} requests ({kinds}),'
        f' {whole_count} whole, {len(records.runs)} runs',
    )
    click.echo(
        f'  {len(plan.faults)} faults, {len(records.publications)} versions',
    )


def _show_rollouts(records: Records) -> None:
    for rollout in records.rollouts:
        states = ', '.join(
            f'{state} after {at_ms - rollout.ordered_ms:.0f} ms'
            for state, at_ms in rollout.states
        )
        kind = 'bad' if rollout.is_bad else 'good'
        runs = sum(run.runner in rollout.runners for run in records.runs)
        click.echo(f'  {kind} roll-out, {runs} runs at its target: {states}')


def _show(plan: Plan, soak: Soak, findings: list[Finding]) -> None:
    processes = plan.entries + plan.runners + 1
    click.echo(
        f'  to repeat: python -m soak --seed {plan.seed}'
        f' --minutes {plan.seconds / 60:g} --processes {processes}',
    )
    for line in soak.timeline:
        click.echo(f'  {line}')
    if any(finding.rule in _ROLLOUT_RULES for finding in findings):
        for line in soak.records.rollout_lines:
            click.echo(f'    {line}')
    lines_by_request = soak.records.lines_by_request
    for finding in findings[:_SHOWN_MAX]:
        click.echo(f'  {finding.rule}: {finding.detail} {finding.request}')
        for call in soak.records.calls:
            if finding.request and call.request == finding.request:
                click.echo(f'    {call}'[:600])
        for line in lines_by_request.get(finding.request, ())[:_LINES_MAX]:
            click.echo(f'    {line}')


def _show_fewer(plan: Plan, findings: list[Finding]) -> None:
    rules = frozenset(finding.rule for finding in findings)
    click.echo('  smaller set of faults that still fails:')
    for fault in shrink(plan.faults, partial(_breaks, plan, rules)):
        click.echo(f'  {fault}')


def _breaks(
    plan: Plan,
    rules: frozenset[str],
    faults: tuple[Fault, ...],
) -> bool:
    """Return whether these faults alone violate one of the rules again."""
    _, records = _play(plan.only(faults))
    return any(finding.rule in rules for finding in findings_of(records))


if __name__ == '__main__':
    main()
