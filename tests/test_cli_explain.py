"""The explain command prints a refusal, or an error if none is found."""

import asyncio
from typing import Any

import pytest
from click.testing import CliRunner, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from uvicorn import Config

from bergamotthread.cli.explain import COMMANDS
from bergamotthread.connection.http_server import HttpServer
from bergamotthread.errors import Step
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    problem_json,
)

_REFUSAL = Refusal(
    reason=ReasonCode.OVER_LIMIT,
    detail='12 requests/s, expected at most 10',
    step=Step.ADMIT,
    ran=Ran.NOT_RUN,
    request_id='req-a-0-1',
    decided_by='teams/foundry',
    figures={'requests_per_s': 12},
)


async def _answer(request: Request) -> Response:
    assert request.headers['authorization'] == 'Bearer secret'
    if request.path_params['request_id'] == 'req-a-0-1':
        return Response(problem_json(_REFUSAL))
    is_known = request.path_params['request_id'] == 'req-b-0-1'
    body = problem_json(_REFUSAL) if is_known else b'{'
    return Response(body, status_code=404)


async def _explain(*arguments: str) -> Result:
    app = Starlette(routes=[Route('/v1/explanations/{request_id}', _answer)])
    server = HttpServer(
        Config(app, host='127.0.0.1', port=0, log_config=None, lifespan='off')
    )
    await server.start()
    result = await asyncio.to_thread(_invoke, server.port, *arguments)
    await server.abort()
    return result


def _invoke(port: int, *arguments: str) -> Result:
    return CliRunner().invoke(
        COMMANDS[0],
        [*arguments, '--entry', f'127.0.0.1:{port}'],
        env={'BERGAMOTTHREAD_CREDENTIAL': 'secret'},
    )


@pytest.mark.parametrize(
    ('request_id', 'exit_code', 'shown'),
    [
        ('req-a-0-1', 0, ['requests_per_s=12', 'teams/foundry', 'ran']),
        ('req-b-0-1', 1, ['Error: 12 requests/s']),
        ('req-c-0-1', 1, ['no problem JSON']),
        ('req-b/../0', 2, ['is no request id']),
    ],
)
def test_explain_prints_the_refusal_or_why_it_is_missing(
    request_id: str, exit_code: int, shown: list[str]
) -> None:
    result: Any = asyncio.run(_explain(request_id))
    assert result.exit_code == exit_code, result.output
    assert all(part in result.output for part in shown)


@pytest.mark.parametrize(
    ('entry', 'exit_code'), [('127.0.0.1:1', 1), ('localhost:1', 2)]
)
def test_unreachable_or_invalid_entry_is_named_in_the_error(
    entry: str, exit_code: int
) -> None:
    result = CliRunner().invoke(
        COMMANDS[0], ['req-a-0-1', '--entry', entry, '--credential', 'x']
    )
    assert result.exit_code == exit_code
    assert entry in result.output
