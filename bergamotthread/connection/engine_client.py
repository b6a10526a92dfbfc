"""Narrow interface to a model engine."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator

import msgspec

from bergamotthread.errors import BergamotError
from bergamotthread.wire.messages import LoadReport, Pin


class GenerateRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """One attempt as the engine sees it.

    The engine continues after `prefix_tokens`; `max_tokens` counts them too.
    """

    request_id: str
    pin: Pin
    prompt: str
    prefix_tokens: tuple[str, ...]
    max_tokens: int
    priority: int = 0


class EngineOutput(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens that an engine produced; `finish` is set on the last output."""

    tokens: tuple[str, ...] = ()
    finish: str = ''


class EngineLostError(BergamotError):
    """The connection to the engine broke before the last output."""


class EngineRefusedError(BergamotError):
    """The engine answered and did not start the attempt."""


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
            If the engine does not take the attempt.
        """

    @abc.abstractmethod
    async def load(self) -> LoadReport:
        """Return the engine's newest load report.

        Raises
        ------
        EngineLostError
            If the engine does not answer.
        """

    @abc.abstractmethod
    async def order(self, action: str, pin: Pin, fence: int) -> bool:
        """Order the engine to load, unload or change role.

        Returns whether the engine accepted the order.
        """
