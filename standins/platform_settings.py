"""Settings files of entries in the form that the platform writes."""

from __future__ import annotations

ZONES = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
FRONT_PORT = 8000
READY_PORT = 8001
GRACE_S = 8
DRAIN_MS = 3000
REVOKE_MS = 5000
REPEAT_RATIO = 0.8
REPEAT_SLACK = 150


def entry_settings(
    host: str,
    ip: str,
    zone: str,
    store: str,
    contracts: tuple[str, ...] = (),
    **bounds: float,
) -> dict[str, object]:
    """Return the content of an entry's settings file, to be written as JSON."""
    return {
        'node_name': host,
        'ip': ip,
        'zone': zone,
        'zones': ZONES,
        'listen': {
            'front': f'{ip}:{FRONT_PORT}',
            'ready': f'{ip}:{READY_PORT}',
        },
        'internal_ports': [7000, 7010],
        'platform': {'address': store},
        'bounds': {
            'drain_ms': DRAIN_MS,
            'grace_s': GRACE_S,
            'revoke_ms': REVOKE_MS,
            'revoke_everywhere': True,
            'retry_budget_ratio': REPEAT_RATIO,
            'retry_budget_slack': REPEAT_SLACK,
            **bounds,
        },
        'contracts': list(contracts),
    }
