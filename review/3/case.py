"""An answer without an end stops the whole entry (see claim.txt)."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import MODEL, PLAIN, TROUBLE, Deployment, play, route  # noqa: E402

# The faulty runner spoils one of its twenty or more answers.
SPOILED = 10
STREAMS = 44
STREAM_EVERY_S = 0.4
PLAIN_EVERY_S = 0.05
ROUTE_LIMIT_S = 0.8
SLACK_S = 0.5
LEAST = 8


async def case(run: Deployment) -> bool:
    """Return whether requests stay unanswered past their route's limit."""
    await run.start_store(
        [route('/log/', 'streaming'), route('/cert/', 'non_idempotent')]
    )
    faulty = {'spoiled_stream': SPOILED} if TROUBLE else {}
    for number, faults in ((1, faulty), (2, {})):
        options = {'events': 30, 'faults': faults}
        await run.start_runner(number, MODEL, options)
    for number in (3, 4, 5):
        await run.start_runner(number, PLAIN, {'slots': 6, 'queue': 24})
    for number in (1, 2):
        await run.start_entry(number, 'cuyo-a')
    # The entries are in touch from stable_window_ms after their start.
    await asyncio.sleep(5)
    run.start_balancer()
    streams = [
        asyncio.create_task(send_stream(run, number))
        for number in range(STREAMS)
    ]
    plain = asyncio.create_task(send_plain(run))
    await asyncio.gather(*streams)
    answers = await plain
    return judge(run, answers)


async def send_stream(run: Deployment, number: int) -> None:
    """Send one stream."""
    await asyncio.sleep(number * STREAM_EVERY_S)
    await run.ask(
        entry_for(run, number),
        f'/log/{number}',
        25_000,
        body=b'x' * 8000,
        tokens='8200,120',
    )


async def send_plain(run: Deployment) -> list:
    """Send twenty plain requests a second, a connection each."""
    count = int(STREAMS * STREAM_EVERY_S / PLAIN_EVERY_S) + 50
    tasks = []
    for number in range(count):
        tasks.append(
            asyncio.create_task(
                run.ask(
                    entry_for(run, number),
                    f'/cert/{number}',
                    1500,
                    body=b'c' * 600,
                )
            )
        )
        await asyncio.sleep(PLAIN_EVERY_S)
    return await asyncio.gather(*tasks)


def entry_for(run: Deployment, number: int) -> int:
    """Return the entry that the platform picks for a new connection."""
    offered = run.offered()
    return offered[number % len(offered)]


def judge(run: Deployment, answers: list) -> bool:
    """Apply the rule CONFIG on requests past their route's timeout_ms."""
    unanswered = [one for one in answers if past(one, ROUTE_LIMIT_S)]
    later = [one for one in answers if past(one, ROUTE_LIMIT_S + SLACK_S)]
    run.record.write(
        f'{len(answers)} requests; unanswered at timeout_ms: '
        f'{len(unanswered)}; half a second later: {len(later)}'
    )
    return len(later) >= LEAST and 2 * len(later) > len(unanswered)


def past(answer, limit_s: float) -> bool:
    """Return whether a request had no final answer in time."""
    return not answer.is_whole or answer.ended - answer.sent > limit_s


play(FOLDER, case)
