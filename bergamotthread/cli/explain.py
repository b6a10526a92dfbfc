"""Command that explains a refusal."""

from __future__ import annotations

import asyncio
import ssl
from http import HTTPStatus
from pathlib import Path

import click
import msgspec
from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError

from bergamotthread.connection.address import Address, AddressError
from bergamotthread.process.explanations.explanation_batch import RequestId
from bergamotthread.process.explanations.explanations import describe_missing
from bergamotthread.request.refusal import Refusal

CREDENTIAL_VARIABLE = 'BERGAMOTTHREAD_CREDENTIAL'


class _Problem(msgspec.Struct, frozen=True):
    """Problem document of an entry; other members are ignored."""

    detail: str = 'no detail'


@click.command('explain')
@click.argument('request_id')
@click.option(
    '--entry',
    default='127.0.0.1:8001',
    show_default=True,
    help='IP number and port of any entry.',
)
@click.option(
    '--credential',
    envvar=CREDENTIAL_VARIABLE,
    required=True,
    help='Credential of the team or an operator; preferably set as '
    f'{CREDENTIAL_VARIABLE}.',
)
@click.option(
    '--ca-file',
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help='CA file that verifies the certificate of the entry; enables TLS.',
)
@click.option(
    '--json', 'as_json', is_flag=True, help='Print the refusal as JSON.'
)
def explain_command(
    request_id: str,
    entry: str,
    credential: str,
    ca_file: Path | None,
    as_json: bool,
) -> None:
    """Explain the refusal of REQUEST_ID.

    Shows which rule decided, on which figures and by which version, whether
    anything ran and when to retry. Any entry answers, also when the entry
    that refused no longer runs. The exit code is 1 if no refusal is found.
    """
    if RequestId.from_text(request_id) is None:
        raise click.BadParameter(describe_missing(request_id))
    body = asyncio.run(_fetch(request_id, entry, credential, ca_file))
    if as_json:
        click.echo(body)
        return
    for line in _describe(msgspec.json.decode(body, type=Refusal)):
        click.echo(line)


async def _fetch(
    request_id: str,
    entry: str,
    credential: str,
    ca_file: Path | None,
) -> bytes:
    address = _parse_entry(entry)
    scheme = 'https' if ca_file else 'http'
    context = ssl.create_default_context(cafile=ca_file) if ca_file else None
    url = f'{scheme}://{address}/v1/explanations/{request_id}'
    headers = {'authorization': f'Bearer {credential}'}
    try:
        async with HTTPClient() as client:
            response = await client.get(url, headers=headers, ssl=context)
            body: bytes = await response.content()
    except (AiosonicError, OSError) as error:
        raise click.ClickException(
            f'explain: no answer from entry {entry}: {error!r}',
        ) from error
    if response.status_code != HTTPStatus.OK:
        raise click.ClickException(_read_detail(body))
    return body


def _read_detail(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_Problem).detail
    except (msgspec.DecodeError, UnicodeDecodeError):
        return (
            'the answer is no problem JSON; expected --entry to name an entry'
        )


def _parse_entry(entry: str) -> Address:
    try:
        return Address.from_text(entry)
    except AddressError as error:
        raise click.BadParameter(error.message) from error


def _describe(refusal: Refusal) -> tuple[str, ...]:
    figures = ', '.join(
        f'{name}={amount:g}' for name, amount in refusal.figures.items()
    )
    text_by_label = {
        'request': refusal.request_id,
        'reason': f'{refusal.reason} ({refusal.status})',
        'detail': refusal.detail,
        'ran': refusal.ran,
        'step': refusal.step,
        'peer': refusal.peer,
        'team': refusal.team,
        'version': str(refusal.config_version or ''),
        'decided by': refusal.decided_by,
        'figures': figures,
        'retry after': f'{refusal.retry_after_ms} ms',
    }
    return tuple(
        f'{label:12}{text}' for label, text in text_by_label.items() if text
    )


COMMANDS: tuple[click.Command, ...] = (explain_command,)
