"""Interface to a model engine."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator

import msgspec

from bergamotthread.errors import BergamotError
from bergamotthread.wire.messages import LoadReport, Pin


class GenerateRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request to run one attempt on an engine.

    The engine generates after `prefix_tokens`; `max_tokens` includes them.
    """

    request_id: str
    pin: Pin
    prompt: str
    prefix_tokens: tuple[str, ...]
    max_tokens: int
    priority: int = 0


class EngineOutput(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens that an engine generated; `finish` is set on the last output."""

    tokens: tuple[str, ...] = ()
    finish: str = ''


class EngineLostError(BergamotError):
    """The connection to the engine broke before the last output."""


class EngineRefusedError(BergamotError):
    """The engine refused the attempt or was not reached; it did not run."""


class EngineClient(abc.ABC):
    """Runs attempts on one engine."""

    @abc.abstractmethod
    def generate(self, request: GenerateRequest) -> AsyncIterator[EngineOutput]:
        """Yield the output after the prefix, the last one with `finish`.

        Closing the iterator cancels the attempt at the engine.

        Raises
        ------
        EngineLostError
            If the connection breaks or ends before the last output.
        EngineRefusedError
            If the engine refuses the attempt or is not reached.
        """

    @abc.abstractmethod
    async def load(self) -> LoadReport:
        """Return the engine's current load report.

        Raises
        ------
        EngineLostError
            If the engine does not answer.
        """

    @abc.abstractmethod
    async def order(self, action: str, pin: Pin, fence: int) -> bool:
        """Order the engine to load or unload a model or to change its role.

        Returns
        -------
        bool
            Whether the engine accepted the order.

        Raises
        ------
        EngineLostError
            If the engine does not answer.
        """
