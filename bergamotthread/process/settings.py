"""Settings of a process, read from JSON and checked before use."""

from __future__ import annotations

import msgspec


class _Settings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Base of settings."""


class KeySettings(_Settings, frozen=True):
    """Keys of a deployment; files are PEM (TLS) or Z85 text (CURVE).

    `cursor_keys` are hex; the first one signs, all of them verify.
    """

    tls_certificate_file: str = ''
    tls_key_file: str = ''
    curve_public: str = ''
    curve_secret: str = ''
    curve_accepted: tuple[str, ...] = ()
    cursor_keys: tuple[str, ...] = ()


class PlatformSettings(_Settings, frozen=True):
    """Address (IP number and port) of the platform's table and store."""

    address: str
    reads_per_s: float = 2
    writes_per_s: float = 1
    timeout_ms: int = 1000


class PlaceSettings(_Settings, frozen=True):
    """Where a process runs and how others reach it.

    `address` is the IP number and port for messages between processes.
    """

    address: str
    region: str
    failure_domain: str


class LimitSettings(_Settings, frozen=True):
    """Limits on what a caller may send, in bytes and milliseconds."""

    body_bytes: int = 4_194_304
    header_bytes: int = 32_768
    header_timeout_ms: int = 10_000
    concurrent_requests: int = 2000


class EntrySettings(_Settings, frozen=True):
    """Settings of an `entry` process."""

    place: PlaceSettings
    listen: str
    platform: PlatformSettings
    keys: KeySettings = KeySettings()
    limits: LimitSettings = LimitSettings()
    peers: tuple[str, ...] = ()
    allow_without_keys: bool = False


class AgentSettings(_Settings, frozen=True):
    """Settings of an `agent` process beside one upstream.

    `upstream` is the address of the engine or the plain service.
    """

    place: PlaceSettings
    upstream: str
    upstream_name: str
    platform: PlatformSettings | None = None
    keys: KeySettings = KeySettings()
    entries: tuple[str, ...] = ()
    flush_interval_ms: int = 20
    retention_ms: int = 60_000
    window_tokens: int = 4096
    checks_fencing: bool = False
