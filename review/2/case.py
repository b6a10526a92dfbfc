"""A late second copy of a rejection hides a run (see claim.txt)."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import PLAIN, TROUBLE, Deployment, play, route  # noqa: E402

# Part of the answers of the one faulty runner of two that come twice.
EXTRA_SHARE = 0.03
ENTRIES = 6
SECONDS = 85
# All entries together send about as much as the two runners can run.
EVERY_S = 0.045
NOT_RUN = {408, 421, 429, 503}


async def case(run: Deployment) -> bool:
    """Return whether a request runs twice, or is said not to have run."""
    await run.start_store([route('/cert/', 'non_idempotent', max_attempts=5)])
    faults = {'extra_share': EXTRA_SHARE} if TROUBLE else {}
    options = {'slots': 2, 'queue': 1, 'work_ms': 45}
    await run.start_runner(1, PLAIN, {**options, 'faults': faults})
    await run.start_runner(2, PLAIN, options)
    for number in range(1, ENTRIES + 1):
        await run.start_entry(number, 'cuyo-a')
    await asyncio.sleep(5)
    await asyncio.gather(*(send(run, entry) for entry in range(ENTRIES)))
    return judge(run)


async def send(run: Deployment, entry: int) -> None:
    """Send requests to an entry at random times."""
    rng = random.Random(entry)
    tasks = []
    for number in range(int(SECONDS / EVERY_S)):
        tasks.append(
            asyncio.create_task(
                run.ask(entry, f'/cert/{entry}/{number}', 1500, body=b'c' * 600)
            )
        )
        await asyncio.sleep(rng.expovariate(1 / EVERY_S))
    await asyncio.gather(*tasks)


def judge(run: Deployment) -> bool:
    """Apply the rules TWICE and REFUSED."""
    runs = Counter(
        str(one['id']) for one in run.record.runs if one['what'] == 'run'
    )
    twice = [name for name, count in runs.items() if count > 1]
    refused = [
        one
        for one in run.answers
        if one.status in NOT_RUN and runs[one.request_id]
    ]
    extras = sum(one['what'] == 'extra' for one in run.record.runs)
    rejected = sum(one['what'] == 'rejected' for one in run.record.runs)
    for name in twice:
        run.record.write(f'ran twice: {name}')
    for one in refused:
        run.record.write(f'{one.status}, but has run: {one.request_id}')
    run.record.write(
        f'{len(run.answers)} requests, {len(runs)} of them ran; '
        f'{rejected} rejections, {extras} second copies; '
        f'{len(twice)} ran twice, {len(refused)} were refused and have run'
    )
    return bool(twice or refused)


play(FOLDER, case)
