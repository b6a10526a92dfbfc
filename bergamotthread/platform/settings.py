"""Settings file that the platform writes for a process."""

from __future__ import annotations

import math
import os
from dataclasses import dataclass, fields, replace
from pathlib import Path

import msgspec

from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.machine_limits import MachineLimits
from bergamotthread.process.relay.repeat_budget import ServiceRetryLimits
from bergamotthread.process.rollouts.order import ExposureBound

SETTINGS_VARIABLE = 'BERGAMOTTHREAD_CONFIG'
# Fraction of the bound on retries that the entries use. The rest covers the
# differences between their sliding windows, which are not aligned.
RETRY_BUDGET_FRACTION = 0.75
# Part of the platform's rules that is in force where roll-outs are ordered.
ROLLOUT_CONTRACT = 'rollout'
BYTES_PER_MB = 1_000_000
_BYTES_PER_S_OF_MBPS = 125_000
# Settings that a running process keeps: its name, place and own addresses.
FIXED_SETTINGS = frozenset(
    (
        'host',
        'ip',
        'failure_domain',
        'front',
        'ready',
        'control',
        'metrics_port',
        'peer_port',
    ),
)


class PlatformSettingsError(BergamotError):
    """The settings file can't be read or decoded."""


class _Listen(msgspec.Struct, frozen=True):
    front: str = ''
    ready: str = ''
    control: str = ''


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8
    config_apply_ms: float = 3000
    revoke_ms: float = 5000
    revoke_everywhere: bool = False
    retry_budget_ratio: float = 0.1
    budget_window_s: float = 10
    retry_budget_slack: float = 10
    exposure_share: float = 0
    exposure_slack: float = 0
    rollback_ms: float = 5000


class _Store(msgspec.Struct, frozen=True):
    address: str


class _MachineLimits(msgspec.Struct, frozen=True):
    cpu_share: float | None = 1
    cores: float | None = 1
    memory_mb: float | None = 128
    link_mbps: float | None = 1000


class _SettingsFile(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Store
    bounds: _Bounds = _Bounds()
    limits: _MachineLimits = _MachineLimits()
    contracts: tuple[str, ...] = ()


@dataclass(frozen=True)
class PlatformSettings:
    """Settings of a process on the platform.

    Parameters
    ----------
    front, ready, control
        Addresses to listen on for callers, for the load balancer's check and
        for other processes; empty if the process does not serve them.
    region_by_domain
        Region of each failure domain.
    metrics_port, peer_port
        Ports for metrics and for other entries.
    stop_grace_ms
        Time between the request to stop and the kill.
    version_bound_ms
        Time within which a confirmed version must be in force.
    revoke_bound_ms
        Time within which a removed key must be refused; None if machines that
        can't reach the store may go on serving.
    repeat_ratio, repeat_window_ms, repeat_slack
        Bound on the retries of a service, summed over all entries: retries
        for each first attempt, length of the sliding window, and retries in a
        window beyond the ratio.
    exposure
        Bound on what the build of a roll-out gets; None where the deployment
        has no roll-outs.
    """

    host: str
    ip: str
    failure_domain: str
    region_by_domain: dict[str, str]
    front: str
    ready: str
    control: str
    metrics_port: int
    peer_port: int
    store_address: str
    stop_grace_ms: float
    version_bound_ms: float
    revoke_bound_ms: float | None
    repeat_ratio: float
    repeat_window_ms: float
    repeat_slack: float
    exposure: ExposureBound | None
    machine: MachineLimits

    @property
    def region(self) -> str:
        """Return the region of this process."""
        return self.region_by_domain.get(self.failure_domain, '')

    @property
    def retry_limits(self) -> ServiceRetryLimits:
        """Return the limits on the retries of a service."""
        return ServiceRetryLimits(
            ratio=self.repeat_ratio * RETRY_BUDGET_FRACTION,
            window_ms=self.repeat_window_ms,
            slack=self.repeat_slack * RETRY_BUDGET_FRACTION,
        )

    def changed_names(self, other: PlatformSettings) -> frozenset[str]:
        """Return the names of the settings that differ from another set."""
        return frozenset(
            setting.name
            for setting in fields(self)
            if getattr(self, setting.name) != getattr(other, setting.name)
        )

    def fixed_names(self, names: frozenset[str]) -> frozenset[str]:
        """Return those of the names that a running process keeps."""
        return names & FIXED_SETTINGS

    def keep_fixed(self, former: PlatformSettings) -> PlatformSettings:
        """Return these settings with the `FIXED_SETTINGS` of a former set."""
        kept = {name: getattr(former, name) for name in FIXED_SETTINGS}
        return replace(self, **kept)

    @classmethod
    def from_file(cls, path: Path) -> PlatformSettings:
        """Read and check a settings file.

        Raises
        ------
        PlatformSettingsError
            If the file can't be read or decoded; the error names the file
            and, if a field has the wrong type, the path of the field.
        """
        try:
            return cls.from_json(path.read_bytes())
        except (OSError, msgspec.MsgspecError, ValueError) as error:
            raise PlatformSettingsError(
                f'settings file {path}: {error}',
                step=Step.SETTINGS,
            ) from error

    @classmethod
    def from_json(cls, encoded: bytes) -> PlatformSettings:
        """Decode the settings; unknown fields are ignored.

        Raises
        ------
        msgspec.MsgspecError
            If the JSON is invalid, or a field is missing or has the wrong type.
        ValueError
            If a bound is out of range; the message names its path.
        """
        settings_file = msgspec.json.decode(encoded, type=_SettingsFile)
        bounds = settings_file.bounds
        _check_bounds(bounds)
        return cls(
            host=settings_file.node_name,
            ip=settings_file.ip,
            failure_domain=settings_file.zone,
            region_by_domain=settings_file.zones,
            front=settings_file.listen.front,
            ready=settings_file.listen.ready,
            control=settings_file.listen.control,
            metrics_port=settings_file.internal_ports[0],
            peer_port=settings_file.internal_ports[0] + 1,
            store_address=settings_file.platform.address,
            stop_grace_ms=bounds.grace_s * 1000,
            version_bound_ms=bounds.config_apply_ms,
            revoke_bound_ms=(
                bounds.revoke_ms if bounds.revoke_everywhere else None
            ),
            repeat_ratio=bounds.retry_budget_ratio,
            repeat_window_ms=bounds.budget_window_s * 1000,
            repeat_slack=bounds.retry_budget_slack,
            exposure=_exposure(settings_file),
            machine=_machine(settings_file.limits),
        )


def load_settings() -> PlatformSettings:
    """Read the settings file named by the environment variable.

    Raises
    ------
    PlatformSettingsError
        If the file can't be read or decoded.
    """
    return PlatformSettings.from_file(
        Path(os.environ.get(SETTINGS_VARIABLE, '')),
    )


def _exposure(settings_file: _SettingsFile) -> ExposureBound | None:
    if ROLLOUT_CONTRACT not in settings_file.contracts:
        return None
    bounds = settings_file.bounds
    return ExposureBound(
        bounds.exposure_share, bounds.exposure_slack, bounds.rollback_ms
    )


def _machine(limits: _MachineLimits) -> MachineLimits:
    return MachineLimits(
        cores=_limit(limits.cpu_share) * _limit(limits.cores),
        memory_bytes=_limit(limits.memory_mb) * BYTES_PER_MB,
        link_bytes_per_s=_limit(limits.link_mbps) * _BYTES_PER_S_OF_MBPS,
    )


def _limit(number: float | None) -> float:
    """Return a limit of the machine; infinite if none, or 0, is stated."""
    return number if number and number > 0 else math.inf


def _check_bounds(bounds: _Bounds) -> None:
    positive = ['grace_s', 'config_apply_ms', 'budget_window_s', 'rollback_ms']
    if bounds.revoke_everywhere:
        positive.append('revoke_ms')
    for name in positive:
        if getattr(bounds, name) <= 0:
            raise ValueError(
                f'{getattr(bounds, name):g} at `$.bounds.{name}`, '
                'expected more than 0'
            )
    for name in (
        'retry_budget_ratio',
        'retry_budget_slack',
        'exposure_share',
        'exposure_slack',
    ):
        if getattr(bounds, name) < 0:
            raise ValueError(
                f'{getattr(bounds, name):g} at `$.bounds.{name}`, '
                'expected 0 or more'
            )
