"""Decoder of the time for which a server asks to be left alone."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.connection.http.messages import Header

RETRY_AFTER = b'retry-after'
# Bytes of an invalid value that are kept for the log.
QUOTED_BYTES_MAX = 32
# Seconds with an optional fraction and exponent. `float` alone would also take
# signs, underscores, `nan` and `inf`.
_SECONDS = re.compile(rb'(\d{1,15}(\.\d{0,15})?|\.\d{1,15})([eE][+-]?\d{1,2})?')


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
        texts = [
            text.strip()
            for name, payload in headers
            if name == RETRY_AFTER
            for text in payload.split(b',')
        ]
        valid = [float(text) for text in texts if _SECONDS.fullmatch(text)]
        invalid = (
            text[:QUOTED_BYTES_MAX].decode('latin-1')
            for text in texts
            if not _SECONDS.fullmatch(text)
        )
        return cls(max(valid, default=None), tuple(invalid))
