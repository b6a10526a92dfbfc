"""Settings file of a process, as the platform writes it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from bergamotthread.errors import BergamotError, Step

SETTINGS_VARIABLE = 'BERGAMOTTHREAD_CONFIG'


class PlatformSettingsError(BergamotError):
    """The settings file can't be used."""


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


class _Store(msgspec.Struct, frozen=True):
    address: str


class _SettingsFile(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Store
    bounds: _Bounds = _Bounds()


@dataclass(frozen=True)
class PlatformSettings:
    """What a process is told by the platform.

    Parameters
    ----------
    front, ready, control
        Addresses to listen on for callers, for the balancer's check and for
        other processes; empty where the process does not serve them.
    region_by_domain
        Region of each failure domain.
    metrics_port, peer_port
        Ports for metrics and for other entries.
    stop_grace_ms
        Time between the request to stop and the kill.
    version_bound_ms
        Time within which a confirmed version is in force.
    revoke_bound_ms
        Time within which a removed key is refused; none where machines that
        are out of touch may go on.
    repeat_ratio, repeat_window_ms, repeat_slack
        Bound on the repeats of a service, summed over all entries.
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

    @property
    def region(self) -> str:
        """Return the region of this process."""
        return self.region_by_domain.get(self.failure_domain, '')

    @classmethod
    def from_file(cls, path: Path) -> PlatformSettings:
        """Read and check a settings file.

        Raises
        ------
        PlatformSettingsError
            If the file is missing or a field is of another type; the error
            names the file and the path in it.
        """
        try:
            return cls.from_json(path.read_bytes())
        except (OSError, msgspec.MsgspecError) as error:
            raise PlatformSettingsError(
                f'settings file {path}: {error}',
                step=Step.SETTINGS,
            ) from error

    @classmethod
    def from_json(cls, encoded: bytes) -> PlatformSettings:
        """Decode the settings; unknown fields are ignored."""
        told = msgspec.json.decode(encoded, type=_SettingsFile)
        bounds = told.bounds
        return cls(
            host=told.node_name,
            ip=told.ip,
            failure_domain=told.zone,
            region_by_domain=told.zones,
            front=told.listen.front,
            ready=told.listen.ready,
            control=told.listen.control,
            metrics_port=told.internal_ports[0],
            peer_port=told.internal_ports[0] + 1,
            store_address=told.platform.address,
            stop_grace_ms=bounds.grace_s * 1000,
            version_bound_ms=bounds.config_apply_ms,
            revoke_bound_ms=(
                bounds.revoke_ms if bounds.revoke_everywhere else None
            ),
            repeat_ratio=bounds.retry_budget_ratio,
            repeat_window_ms=bounds.budget_window_s * 1000,
            repeat_slack=bounds.retry_budget_slack,
        )
