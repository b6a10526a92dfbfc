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


def test_curve_pair_matches() -> None:
    pair = CurvePair.generate()
    assert zmq.curve_public(pair.secret.encode()).decode() == pair.public


def test_credential_hash() -> None:
    one, other = Credential.generate(), Credential.generate()
    assert one.secret != other.secret
    assert one.digest == hash_credential(one.secret)
    assert len(one.digest) == 64


def test_certificate_names_ip_numbers_and_lifetime() -> None:
    clock = Clock(lambda: 0, lambda: 1_000_000_000)
    pair = generate_tls_pair(('10.0.0.1', '::1'), 30, clock)
    certificate = x509.load_pem_x509_certificate(pair.certificate)
    names = certificate.extensions.get_extension_for_class(
        x509.SubjectAlternativeName
    ).value.get_values_for_type(x509.IPAddress)
    assert [str(name) for name in names] == ['10.0.0.1', '::1']
    lifetime = certificate.not_valid_after_utc.timestamp() - 1_000_000_000
    assert lifetime == 30 * 86_400


def test_host_name_gets_no_certificate() -> None:
    with pytest.raises(AddressError):
        generate_tls_pair(('example.org',), 30, Clock.from_system())


def test_deployment_keys_make_valid_settings(tmp_path: Path) -> None:
    arguments = ['deployment', '--directory', str(tmp_path / 'keys')]
    made = CliRunner().invoke(_KEYGEN, arguments)
    assert made.exit_code == 0, made.output
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
def test_printed_keys_differ_each_time(kind: str) -> None:
    outputs = {CliRunner().invoke(_KEYGEN, [kind]).output for _ in range(2)}
    assert len(outputs) == 2
