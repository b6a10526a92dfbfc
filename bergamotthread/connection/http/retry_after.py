"""Decoder of the time for which a server asks to be left alone."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.connection.http.decimal_field import DECIMAL, DecimalField
from bergamotthread.connection.http.messages import Header

RETRY_AFTER = b'retry-after'
# Seconds with an optional fraction and exponent.
_SECONDS = re.compile(rb'(%b)([eE][+-]?\d{1,2})?' % DECIMAL.pattern)


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Values of the field in one answer.

    Parameters
    ----------
    seconds
        The longest valid value; None if there is none.
    invalid
        The invalid values, cut for the log.
    """

    seconds: float | None = None
    invalid: tuple[str, ...] = ()

    @classmethod
    def from_headers(cls, headers: Iterable[Header]) -> RetryAfter:
        """Decode the field from an answer, with names in lower case.

        Of several values the longest valid one counts, which honours all of
        them. A date is invalid: hosts' clocks may differ by more than the
        times that are asked for.
        """
        stated = DecimalField.from_headers(headers, RETRY_AFTER, _SECONDS)
        return cls(max(stated.valid, default=None), stated.invalid)
