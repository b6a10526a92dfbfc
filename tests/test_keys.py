"""Generated keys match, are private to their owner and pass the checks."""

import json
from pathlib import Path

import msgspec
import pytest
import zmq
from click.testing import CliRunner
from cryptography import x509

from bergamotthread.cli.keygen import COMMANDS
from bergamotthread.clock import Clock
from bergamotthread.connection.address import AddressError
from bergamotthread.process.keys import (
    Credential,
    CurvePair,
    generate_tls_pair,
    hash_credential,
)
from bergamotthread.process.settings import EntrySettings
from bergamotthread.process.settings_file import load_settings

_KEYGEN = COMMANDS[0]
_EXAMPLE = Path(__file__).parent.parent / 'examples' / 'entry.json'


def test_generated_curve_keys_form_a_pair() -> None:
    pair = CurvePair.generate()
    assert zmq.curve_public(pair.secret.encode()).decode() == pair.public


def test_credentials_are_unique_and_match_their_digest() -> None:
    first, second = Credential.generate(), Credential.generate()
    assert first.secret != second.secret
    assert first.digest == hash_credential(first.secret)
    assert len(first.digest) == 64


def test_certificate_has_the_ip_numbers_and_lifetime() -> None:
    clock = Clock(lambda: 0, lambda: 1_000_000_000)
    pair = generate_tls_pair(('10.0.0.1', '::1'), 30, clock)
    certificate = x509.load_pem_x509_certificate(pair.certificate)
    names = certificate.extensions.get_extension_for_class(
        x509.SubjectAlternativeName
    ).value.get_values_for_type(x509.IPAddress)
    assert [str(name) for name in names] == ['10.0.0.1', '::1']
    lifetime = certificate.not_valid_after_utc.timestamp() - 1_000_000_000
    assert lifetime == 30 * 86_400


def test_certificate_for_a_host_name_is_refused() -> None:
    with pytest.raises(AddressError):
        generate_tls_pair(('example.org',), 30, Clock.from_system())


def test_deployment_keys_are_valid_settings_and_not_overwritten(
    tmp_path: Path,
) -> None:
    arguments = ['deployment', '--directory', str(tmp_path / 'keys')]
    created = CliRunner().invoke(_KEYGEN, arguments)
    assert created.exit_code == 0, created.output
    keys_file = tmp_path / 'keys' / 'keys.json'
    assert keys_file.stat().st_mode & 0o077 == 0
    document = json.loads(_EXAMPLE.read_bytes())
    document['keys'] = json.loads(keys_file.read_bytes())
    document['listen'] = '10.0.0.1:443'
    path = tmp_path / 'entry.json'
    path.write_bytes(msgspec.json.encode(document))
    assert load_settings(path, EntrySettings).keys.cursor_keys
    again = CliRunner().invoke(_KEYGEN, arguments)
    assert (again.exit_code, 'exists' in again.output) == (1, True)


@pytest.mark.parametrize('kind', ['curve', 'cursor', 'credential'])
def test_each_command_run_prints_a_new_key(kind: str) -> None:
    outputs = {CliRunner().invoke(_KEYGEN, [kind]).output for _ in range(2)}
    assert len(outputs) == 2
