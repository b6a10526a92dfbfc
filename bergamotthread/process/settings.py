"""Structures of settings files; they are read from JSON and checked."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
WindowTokens = Annotated[int, msgspec.Meta(ge=512)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
UpstreamKind = Literal['engine', 'service']
LogFormat = Literal['text', 'json']
LogLevel = Literal['debug', 'info', 'warning', 'error']


class _Settings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Base class; settings are immutable and refuse unknown fields."""


class KeySettings(_Settings, frozen=True):
    """Keys of a deployment; files are PEM (TLS), CURVE keys are Z85 text.

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
    reads_per_s: PositiveFloat = 2
    writes_per_s: PositiveFloat = 1
    timeout_ms: PositiveInt = 1000


class PlaceSettings(_Settings, frozen=True):
    """Where a process runs and how others reach it.

    `address` is the IP number and port for messages between processes.
    """

    address: str
    region: Name
    failure_domain: Name


class LimitSettings(_Settings, frozen=True):
    """Limits on what callers may send, in bytes and milliseconds.

    `held_body_bytes` bounds all bodies that one process holds at once.
    """

    body_bytes: PositiveInt = 4_194_304
    header_bytes: PositiveInt = 32_768
    header_timeout_ms: PositiveInt = 10_000
    body_timeout_ms: PositiveInt = 30_000
    held_body_bytes: PositiveInt = 67_108_864
    concurrent_requests: PositiveInt = 2000


class LogSettings(_Settings, frozen=True):
    """Format and minimum level of the log on standard error."""

    format: LogFormat = 'json'
    level: LogLevel = 'info'


class EntrySettings(_Settings, frozen=True):
    """Settings of an `entry` process."""

    place: PlaceSettings
    listen: str
    platform: PlatformSettings
    keys: KeySettings = KeySettings()
    limits: LimitSettings = LimitSettings()
    peers: tuple[str, ...] = ()
    allow_without_keys: bool = False
    log: LogSettings = LogSettings()


class AgentSettings(_Settings, frozen=True):
    """Settings of an `agent` process beside one upstream.

    `upstream` is the address of the engine or the plain service.
    """

    place: PlaceSettings
    upstream: str
    upstream_name: Name
    platform: PlatformSettings | None = None
    keys: KeySettings = KeySettings()
    entries: tuple[str, ...] = ()
    flush_interval_ms: PositiveInt = 20
    retention_ms: PositiveInt = 60_000
    window_tokens: WindowTokens = 4096
    checks_fencing: bool = False
    upstream_kind: UpstreamKind = 'engine'
    allow_without_keys: bool = False
    log: LogSettings = LogSettings()
