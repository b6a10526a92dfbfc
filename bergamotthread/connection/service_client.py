"""Interface to the plain service that an agent calls."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from bergamotthread.errors import BergamotError


@dataclass(frozen=True)
class ServiceRequest:
    """One call of a plain service.

    Parameters
    ----------
    remaining_ms
        Time within which the answer must be complete.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_ms: float


@dataclass(frozen=True)
class ServiceAnswer:
    """Answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceUnreachableError(BergamotError):
    """No byte of the call reached the service."""


class ServiceLostError(BergamotError):
    """The call may have run; its answer did not arrive."""


class ServiceClient(abc.ABC):
    """Client of a plain service; sends each call at most once."""

    @abc.abstractmethod
    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Send a call and return its answer.

        Raises
        ------
        ServiceUnreachableError
            If no byte of the call reached the service.
        ServiceLostError
            If no complete answer arrives; the call may have run.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
