"""Checks of settings beyond the types of their fields."""

from __future__ import annotations

import ssl
from collections.abc import Iterator

import zmq

from bergamotthread.connection.address import Address, AddressError
from bergamotthread.process.settings import (
    AgentSettings,
    EntrySettings,
    KeySettings,
)
from bergamotthread.process.store.document import Problem, show_json

CURVE_KEY_CHARACTERS = 40
MIN_CURSOR_KEY_BYTES = 32


def check_settings(
    settings: EntrySettings | AgentSettings,
) -> tuple[Problem, ...]:
    """Return every violation found in settings of the right types."""
    return (
        *_check_addresses(settings),
        *_check_curve_keys(settings.keys),
        *_check_cursor_keys(settings.keys),
        *_check_tls_files(settings.keys),
        *_check_exposure(settings),
    )


def _addresses_by_path(
    settings: EntrySettings | AgentSettings,
) -> dict[str, str]:
    by_path = {'$.place.address': settings.place.address}
    if settings.platform is not None:
        by_path['$.platform.address'] = settings.platform.address
    match settings:
        case EntrySettings(listen=listen, peers=peers):
            by_path['$.listen'] = listen
            by_path.update(_numbered('$.peers', peers))
        case AgentSettings(upstream=upstream, entries=entries):
            by_path['$.upstream'] = upstream
            by_path.update(_numbered('$.entries', entries))
    return by_path


def _numbered(path: str, texts: tuple[str, ...]) -> dict[str, str]:
    return {f'{path}[{index}]': text for index, text in enumerate(texts)}


def _check_addresses(
    settings: EntrySettings | AgentSettings,
) -> Iterator[Problem]:
    for path, text in _addresses_by_path(settings).items():
        try:
            address = Address.from_text(text)
        except AddressError as error:
            expected = error.message.partition('expected ')[2]
            yield Problem(path, show_json(text), expected)
        else:
            if not address.port:
                yield Problem(path, show_json(text), 'a port from 1 to 65535')


def _check_curve_keys(keys: KeySettings) -> Iterator[Problem]:
    given = {
        '$.keys.curve_public': keys.curve_public,
        '$.keys.curve_secret': keys.curve_secret,
    }
    if not any(given.values()):
        if keys.curve_accepted:
            yield Problem('$.keys.curve_public', '""', _CURVE_KEY)
        return
    given.update(_numbered('$.keys.curve_accepted', keys.curve_accepted))
    invalid_paths = [
        path for path, key in given.items() if not _is_curve_key(key)
    ]
    for path in invalid_paths:
        yield Problem(path, _redact(given[path]), _CURVE_KEY)
    if not invalid_paths and not _is_curve_pair(keys):
        yield Problem(
            '$.keys.curve_public',
            show_json(keys.curve_public),
            'the public key of $.keys.curve_secret',
        )


_CURVE_KEY = f'a CURVE key of {CURVE_KEY_CHARACTERS} Z85 characters'


def _is_curve_key(key: str) -> bool:
    if len(key) != CURVE_KEY_CHARACTERS or not key.isascii():
        return False
    try:
        zmq.curve_public(key.encode())
    except (zmq.ZMQError, ValueError):
        return False
    return True


def _is_curve_pair(keys: KeySettings) -> bool:
    public = zmq.curve_public(keys.curve_secret.encode())
    return public.decode() == keys.curve_public


def _check_cursor_keys(keys: KeySettings) -> Iterator[Problem]:
    for index, key in enumerate(keys.cursor_keys):
        if not _is_cursor_key(key):
            yield Problem(
                f'$.keys.cursor_keys[{index}]',
                _redact(key),
                f'at least {MIN_CURSOR_KEY_BYTES} bytes in hex',
            )


def _is_cursor_key(key: str) -> bool:
    try:
        return len(bytes.fromhex(key)) >= MIN_CURSOR_KEY_BYTES
    except ValueError:
        return False


def _check_tls_files(keys: KeySettings) -> Iterator[Problem]:
    if not keys.tls_certificate_file and not keys.tls_key_file:
        return
    if not keys.tls_key_file:
        yield Problem('$.keys.tls_key_file', '""', 'the file of the key')
        return
    if not keys.tls_certificate_file:
        path = '$.keys.tls_certificate_file'
        yield Problem(path, '""', 'the file of the certificate')
        return
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(keys.tls_certificate_file, keys.tls_key_file)
    except (OSError, ValueError) as error:
        yield Problem(
            '$.keys.tls_certificate_file',
            show_json(keys.tls_certificate_file),
            f'readable PEM files of a certificate and its key ({error})',
        )


def _check_exposure(
    settings: EntrySettings | AgentSettings,
) -> Iterator[Problem]:
    if settings.allow_without_keys:
        return
    keys = settings.keys
    if _is_exposed(settings.place.address) and not keys.curve_public:
        yield _missing_key_problem('curve_public', settings.place.address)
    if not isinstance(settings, EntrySettings):
        return
    if not _is_exposed(settings.listen):
        return
    if not keys.tls_certificate_file:
        yield _missing_key_problem('tls_certificate_file', settings.listen)
    if not keys.cursor_keys:
        yield _missing_key_problem('cursor_keys', settings.listen)


def _is_exposed(text: str) -> bool:
    try:
        return not Address.from_text(text).is_loopback
    except AddressError:
        return False


def _missing_key_problem(field: str, address: str) -> Problem:
    return Problem(
        f'$.keys.{field}',
        '(missing)',
        f'a key, since {address} is not a loopback address '
        '(or $.allow_without_keys: true)',
    )


def _redact(secret: str) -> str:
    return f'({len(secret)} characters)'
