"""Commands that generate keys."""

from __future__ import annotations

import os
from pathlib import Path

import click
import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.address import AddressError
from bergamotthread.process.keys import (
    Credential,
    CurvePair,
    TlsPair,
    generate_cursor_key,
    generate_tls_pair,
)
from bergamotthread.process.settings import KeySettings

CERTIFICATE_FILE = 'tls.pem'
KEY_FILE = 'tls.key'
SETTINGS_FILE = 'keys.json'

_SECRET_MODE = 0o600

_directory_option = click.option(
    '--directory',
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help='Directory of the files; created if it does not exist.',
)
_ip_option = click.option(
    '--ip',
    'ip_numbers',
    multiple=True,
    default=('127.0.0.1',),
    help='IP number that callers connect to; may be repeated.',
)
_days_option = click.option(
    '--days',
    type=click.IntRange(1),
    default=90,
    show_default=True,
    help='Lifetime of the certificate, in days.',
)


@click.group('keygen')
def keygen_command() -> None:
    """Generate keys for a deployment.

    Secrets are printed or written to files that only their owner may read;
    nothing is sent anywhere. Keys can be rotated without downtime: see
    docs/operations/keys.md.
    """


@keygen_command.command('curve')
def curve_command() -> None:
    """Print a CURVE key pair for messages between processes."""
    pair = CurvePair.generate()
    _print_settings(
        KeySettings(curve_public=pair.public, curve_secret=pair.secret),
    )


@keygen_command.command('cursor')
def cursor_command() -> None:
    """Print a key for signing cursors."""
    _print_settings(KeySettings(cursor_keys=(generate_cursor_key(),)))


@keygen_command.command('credential')
def credential_command() -> None:
    """Print a credential of a team or an operator, and its hash.

    Put the hash into `credential_hashes` of the team or operator and give
    the credential to its holder. The credential is not stored.
    """
    credential = Credential.generate()
    click.echo(f'credential {credential.secret}')
    click.echo(f'hash {credential.digest}')


@keygen_command.command('tls')
@_directory_option
@_ip_option
@_days_option
def tls_command(
    directory: Path,
    ip_numbers: tuple[str, ...],
    days: int,
) -> None:
    """Write a self-signed certificate and its private key."""
    _write_tls(directory, _make_tls(ip_numbers, days))
    click.echo(f'wrote {directory / CERTIFICATE_FILE}')
    click.echo(f'wrote {directory / KEY_FILE}')


@keygen_command.command('deployment')
@_directory_option
@_ip_option
@_days_option
def deployment_command(
    directory: Path,
    ip_numbers: tuple[str, ...],
    days: int,
) -> None:
    """Write all keys of a new deployment.

    The file keys.json holds the `keys` object of the settings.
    """
    _write_tls(directory, _make_tls(ip_numbers, days))
    pair = CurvePair.generate()
    keys = KeySettings(
        tls_certificate_file=str(directory / CERTIFICATE_FILE),
        tls_key_file=str(directory / KEY_FILE),
        curve_public=pair.public,
        curve_secret=pair.secret,
        cursor_keys=(generate_cursor_key(),),
    )
    _write_secret(directory / SETTINGS_FILE, _format(keys).encode())
    click.echo(f'wrote {directory / SETTINGS_FILE}')


def _make_tls(ip_numbers: tuple[str, ...], days: int) -> TlsPair:
    try:
        return generate_tls_pair(ip_numbers, days, Clock.from_system())
    except AddressError as error:
        raise click.BadParameter(error.message) from error


def _write_tls(directory: Path, pair: TlsPair) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    _write_secret(directory / CERTIFICATE_FILE, pair.certificate)
    _write_secret(directory / KEY_FILE, pair.key)


def _write_secret(path: Path, encoded: bytes) -> None:
    try:
        descriptor = os.open(
            path,
            os.O_WRONLY | os.O_CREAT | os.O_EXCL,
            _SECRET_MODE,
        )
    except FileExistsError as error:
        raise click.ClickException(
            f'{path} exists, expected no file there: keys are not overwritten',
        ) from error
    with open(descriptor, 'wb') as opened:
        opened.write(encoded)


def _print_settings(keys: KeySettings) -> None:
    click.echo(_format(keys))


def _format(keys: KeySettings) -> str:
    non_empty = {
        name: key for name, key in msgspec.to_builtins(keys).items() if key
    }
    return msgspec.json.format(msgspec.json.encode(non_empty)).decode()


COMMANDS: tuple[click.Command, ...] = (keygen_command,)
