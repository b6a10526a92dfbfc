"""Base classes of the errors that the package raises."""

from __future__ import annotations

import enum


class Step(enum.StrEnum):
    """Step of a request or of a process at which an error arises."""

    SETTINGS = 'settings'
    CHECK = 'check'
    AUTHENTICATE = 'authenticate'
    ADMIT = 'admit'
    ROUTE = 'route'
    RESERVE = 'reserve'
    DISPATCH = 'dispatch'
    GENERATE = 'generate'
    RESUME = 'resume'
    RELAY = 'relay'
    RECORD = 'record'
    PUBLISH = 'publish'
    STORE = 'store'
    TRANSPORT = 'transport'
    DRAIN = 'drain'
    ORDER = 'order'
    DECODE = 'decode'


class BergamotError(Exception):
    """Error with the step and the peer at which it arose.

    Parameters
    ----------
    message
        What is wrong, with the offending value and what was expected.
    step
        Step at which the error arose.
    peer
        Address or name of the peer; empty if there is none.
    """

    def __init__(self, message: str, *, step: Step, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        at_peer = f' (peer {self.peer})' if self.peer else ''
        return f'{self.step}{at_peer}: {self.message}'


class StoreUnavailableError(BergamotError):
    """The platform did not answer; a write may have taken effect."""


class StoreConflictError(BergamotError):
    """A compare-and-set found another revision; nothing was written."""


class DecodeError(BergamotError):
    """Received or stored bytes can not be decoded."""
