"""Demonstration of resume, idempotent calls and publication on loopback."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec
from aiosonic import HTTPClient

from bergamotthread.version.publication import Draft
from standins.engine_core import EngineSpeed
from standins.loopback import Loopback
from standins.tokens import salt_of, verify_answer
from standins.users import USERS, User

TOKENS = 80
KILL_AFTER_TOKENS = 30
FORCE_TIMEOUT_S = 5
USER_TIMEOUT_S = 30
_EVENT_PREFIX = b'data: {'

Say = Callable[[str], None]


class DemoError(AssertionError):
    """A step of the demonstration did not show the expected result."""


async def run_demo(say: Say) -> None:
    """Run all steps of the demonstration for both users.

    Raises
    ------
    DemoError
        If a step does not show the expected result, or takes too long.
    """
    # Stand-ins close connections on purpose, and the server logs each as an
    # error.
    logging.getLogger('uvicorn.error').disabled = True
    for user in USERS:
        try:
            async with asyncio.timeout(USER_TIMEOUT_S):
                await _show_user(user, say)
        except TimeoutError as error:
            raise DemoError(
                f'demonstration not finished after {USER_TIMEOUT_S} s'
            ) from error


async def _show_user(user: User, say: Say) -> None:
    say(f'--- {user.name}: regions {", ".join(user.regions)}')
    speed = EngineSpeed(token_interval_ms=15)
    deployment = Loopback(user, speed=speed)
    try:
        await deployment.start()
        await _show_resume(deployment, say)
        await _show_guarded_call(deployment, say)
        await _show_publication(deployment, say)
    finally:
        await deployment.close()


async def _show_resume(deployment: Loopback, say: Say) -> None:
    reader = _Reader(deployment)
    await reader.read()
    verify_answer(deployment.user.prompt, reader.text, TOKENS)
    if reader.resume_ms is None:
        raise DemoError('the generation was not resumed after an engine kill')
    say(
        f'{TOKENS} tokens, none missing or repeated; engine killed after '
        f'{reader.killed_at}, output resumed {reader.resume_ms:.0f} ms later',
    )


async def _show_guarded_call(deployment: Loopback, say: Say) -> None:
    user = deployment.user
    headers = {**_headers(user), 'idempotency-key': 'batch-17'}
    answers = []
    async with HTTPClient() as client:
        for entry in range(deployment.entry_count):
            url = deployment.entry_url(entry)
            response = await client.request(
                f'{url}/v1/services/{user.plain_service}{user.guarded_path}',
                method='POST',
                headers=headers,
                data=b'{"batch": 17}',
            )
            answers.append((response.status_code, await response.content()))
    run_count = sum(
        sum(service.runs_by_key.values()) for service in deployment.services
    )
    if run_count != 1 or len(set(answers)) != 1:
        raise DemoError(f'ran {run_count} times, expected 1; answers {answers}')
    say(
        f'POST {user.guarded_path} sent twice with one key through '
        f'{deployment.entry_count} entries: ran once, same answer',
    )


async def _show_publication(deployment: Loopback, say: Say) -> None:
    publisher = deployment.publisher()
    newest = await publisher.newest()
    objects = newest.state.object_set
    changed = msgspec.structs.replace(
        objects,
        teams=(
            msgspec.structs.replace(objects.teams[0], weight=2),
            *objects.teams[1:],
        ),
    )
    started_ms = deployment.clock.now_ms()
    published = await publisher.publish(
        Draft(changed, who='operator', base=newest.state.version),
    )
    version = published.state.version
    try:
        async with asyncio.timeout(FORCE_TIMEOUT_S):
            await _until_in_force(deployment, version)
    except TimeoutError as error:
        raise DemoError(
            f'version {version} not in force everywhere in time'
        ) from error
    duration_ms = deployment.clock.now_ms() - started_ms
    say(
        f'version {version} in force at every process'
        f' after {duration_ms:.0f} ms',
    )


async def _until_in_force(deployment: Loopback, version: int) -> None:
    holders = [entry.versions for entry in deployment.entries]
    agents = (*deployment.engine_agents, *deployment.service_agents)
    holders.extend(agent.versions for agent in agents)
    while any(holder.version < version for holder in holders):
        await deployment.clock.sleep_ms(5)


class _Reader:
    """Reads a streamed answer and kills its engine during the stream."""

    def __init__(self, deployment: Loopback) -> None:
        self.text = ''
        self.killed_at = 0
        self.resume_ms: float | None = None
        self._deployment = deployment
        self._killed_ms = float(0)
        self._killed_salt = ''

    async def read(self) -> None:
        """Read the complete answer."""
        user = self._deployment.user
        async with HTTPClient() as client:
            response = await client.request(
                f'{self._deployment.entry_url(0)}/v1/completions',
                method='POST',
                headers=_headers(user),
                data=msgspec.json.encode(
                    {
                        'model': user.model,
                        'prompt': user.prompt,
                        'max_tokens': TOKENS,
                        'stream': True,
                    },
                ),
                stream=True,
            )
            pending = b''
            async for chunk in response.read_chunks():
                pending += chunk
                *events, pending = pending.split(b'\n\n')
                for event in events:
                    self._take(event)

    def _take(self, event: bytes) -> None:
        start = event.find(_EVENT_PREFIX)
        if start < 0:
            return
        body = msgspec.json.decode(event[start + len(_EVENT_PREFIX) - 1 :])
        if 'choices' not in body:
            raise DemoError(f'completion refused: {body}')
        text = body['choices'][0]['text']
        if self._killed_ms and self.resume_ms is None:
            self._note_resume(text)
        self.text += text
        if not self._killed_ms and self._count() >= KILL_AFTER_TOKENS:
            self._kill()

    def _note_resume(self, text: str) -> None:
        """Record the time until the first token of another attempt."""
        if any(salt_of(token) != self._killed_salt for token in text.split()):
            now_ms = self._deployment.clock.now_ms()
            self.resume_ms = now_ms - self._killed_ms

    def _count(self) -> int:
        return len(self.text.split())

    def _kill(self) -> None:
        self.killed_at = self._count()
        self._killed_salt = salt_of(self.text.split()[-1])
        self._killed_ms = self._deployment.clock.now_ms()
        by_id = self._deployment.entries[0].generations.by_id
        for live in by_id.values():
            agent = live.generation.place.agent
            self._deployment.engine_of(agent).die()


def _headers(user: User) -> dict[str, str]:
    credential = user.credential(user.teams[0])
    return {'authorization': f'Bearer {credential}'}
