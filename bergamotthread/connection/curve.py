"""Authentication of peers by CURVE keys.

All processes of a deployment have the same key pair. During a key rotation, the
old and the new pair are both in use: a process accepts both public keys, and
when it connects it tries the accepted server keys in turn.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import zmq
from absl import logging
from zmq.auth.asyncio import AsyncioAuthenticator

from bergamotthread.clock import Clock
from bergamotthread.process.settings import KeySettings

LOG_INTERVAL_MS = 60_000
MAX_REMEMBERED_REASONS = 256

_MIN_ZAP_FRAMES = 6
_ZAP_ADDRESS_FRAME = 3


@dataclass
class CurveGate:
    """Decides which peers may connect, by their public keys.

    Parameters
    ----------
    accepted
        Public keys, Z85-encoded, of the peers that may connect.
    refused
        Number of refused connections.
    peer_ip
        IP address of the peer that is being checked, for log lines; empty if
        it is unknown.
    """

    accepted: frozenset[str]
    clock: Clock
    refused: int = 0
    peer_ip: str = ''
    logged_ms_by_reason: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_settings(cls, keys: KeySettings, clock: Clock) -> CurveGate:
        """Accept the process's own public key and those in the settings."""
        accepted = frozenset((keys.curve_public, *keys.curve_accepted))
        return cls(accepted=accepted, clock=clock)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer with this public key may connect."""
        public = key.decode('ascii', 'replace')
        if public in self.accepted:
            return True
        self.refuse(f'CURVE key {public} is not accepted')
        return False

    def refuse(self, reason: str) -> None:
        """Count a refused peer; log its reason unless logged recently."""
        self.refused += 1
        now_ms = self.clock.now_ms()
        logged_ms = self.logged_ms_by_reason.get(reason)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        if len(self.logged_ms_by_reason) >= MAX_REMEMBERED_REASONS:
            self.logged_ms_by_reason.clear()
        self.logged_ms_by_reason[reason] = now_ms
        logging.warning(
            'refused a connection: %s',
            reason,
            extra={'step': 'transport', 'peer': self.peer_ip},
        )


class _GateAuthenticator(AsyncioAuthenticator):
    """Passes the IP address of the connecting peer to the gate."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        gate: CurveGate,
    ) -> None:
        super().__init__(context)
        self._gate = gate

    async def handle_zap_message(self, msg: list[bytes]) -> None:
        if len(msg) >= _MIN_ZAP_FRAMES:
            peer_ip = msg[_ZAP_ADDRESS_FRAME]
            self._gate.peer_ip = peer_ip.decode('ascii', 'replace')
        await super().handle_zap_message(msg)


def start_authenticator(
    context: zmq.Context[zmq.Socket[bytes]],
    gate: CurveGate,
) -> AsyncioAuthenticator:
    """Start an authenticator that asks `gate` about each connecting peer."""
    authenticator = _GateAuthenticator(context, gate)
    authenticator.start()
    authenticator.configure_curve_callback('*', credentials_provider=gate)
    return authenticator


def secure_server(socket: zmq.Socket[bytes], keys: KeySettings) -> None:
    """Set CURVE keys on a bound socket; only accepted peers may connect."""
    socket.curve_server = True
    socket.curve_publickey = keys.curve_public.encode()
    socket.curve_secretkey = keys.curve_secret.encode()


def secure_client(
    socket: zmq.Socket[bytes],
    keys: KeySettings,
    server_key: str,
) -> None:
    """Set CURVE keys on a connecting socket.

    Parameters
    ----------
    server_key
        Public key that the server must have.
    """
    socket.curve_serverkey = server_key.encode()
    socket.curve_publickey = keys.curve_public.encode()
    socket.curve_secretkey = keys.curve_secret.encode()
