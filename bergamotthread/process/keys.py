"""Generation of TLS, CURVE and cursor keys and of credentials."""

from __future__ import annotations

import datetime
import hashlib
import ipaddress
import secrets
from dataclasses import dataclass

import zmq
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from bergamotthread.clock import Clock
from bergamotthread.connection.address import Address

CURSOR_KEY_BYTES = 32
CREDENTIAL_BYTES = 32
CREDENTIAL_PREFIX = 'bt_'

_MS_PER_S = 1000
_BACKDATE = datetime.timedelta(minutes=5)


@dataclass(frozen=True)
class CurvePair:
    """CURVE key pair for messages between processes, as Z85 text."""

    public: str
    secret: str

    @classmethod
    def generate(cls) -> CurvePair:
        """Return a new pair."""
        public, secret = zmq.curve_keypair()
        return cls(public=public.decode(), secret=secret.decode())


@dataclass(frozen=True)
class Credential:
    """Bearer credential of a team or an operator, and its SHA-256 in hex."""

    secret: str
    digest: str

    @classmethod
    def generate(cls) -> Credential:
        """Return a new credential."""
        token = secrets.token_urlsafe(CREDENTIAL_BYTES)
        secret = f'{CREDENTIAL_PREFIX}{token}'
        return cls(secret=secret, digest=hash_credential(secret))


@dataclass(frozen=True)
class TlsPair:
    """Self-signed certificate and its private key, as PEM."""

    certificate: bytes
    key: bytes


def hash_credential(secret: str) -> str:
    """Return the SHA-256 of a secret in hex, as published versions hold it."""
    return hashlib.sha256(secret.encode()).hexdigest()


def generate_cursor_key() -> str:
    """Return a new key for signing cursors, in hex."""
    return secrets.token_hex(CURSOR_KEY_BYTES)


def generate_tls_pair(
    ip_numbers: tuple[str, ...],
    lifetime_days: int,
    clock: Clock,
) -> TlsPair:
    """Return a new self-signed certificate for the IP numbers.

    Raises
    ------
    AddressError
        If a text is not an IP number.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name(
        [x509.NameAttribute(NameOID.COMMON_NAME, 'bergamotthread')],
    )
    now = datetime.datetime.fromtimestamp(
        clock.calendar_ms() / _MS_PER_S,
        datetime.UTC,
    )
    builder = x509.CertificateBuilder(
        issuer_name=name,
        subject_name=name,
        public_key=key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=now - _BACKDATE,
        not_valid_after=now + datetime.timedelta(days=lifetime_days),
    )
    builder = builder.add_extension(_alternative_names(ip_numbers), False)
    certificate = builder.sign(key, hashes.SHA256())
    pem = serialization.Encoding.PEM
    return TlsPair(
        certificate=certificate.public_bytes(pem),
        key=key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )


def _alternative_names(
    ip_numbers: tuple[str, ...],
) -> x509.SubjectAlternativeName:
    return x509.SubjectAlternativeName(
        [x509.IPAddress(_parse_ip(text)) for text in ip_numbers],
    )


def _parse_ip(text: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    host = f'[{text}]' if ':' in text else text
    return Address.from_text(f'{host}:0').ip
