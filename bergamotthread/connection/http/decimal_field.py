"""Decoder of header fields whose values are decimal numbers."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.connection.http.messages import Header

# Bytes of an invalid value that are kept for the log.
QUOTED_BYTES_MAX = 32
# `float` alone would also take signs, underscores, exponents, `nan` and `inf`.
DECIMAL = re.compile(rb'\d{1,15}(\.\d{0,15})?|\.\d{1,15}')


@dataclass(frozen=True, slots=True)
class DecimalField:
    """Values of one field in one answer.

    Parameters
    ----------
    valid
        The valid values, in the order received.
    invalid
        The invalid values, cut for the log.
    """

    valid: tuple[float, ...] = ()
    invalid: tuple[str, ...] = ()

    @classmethod
    def from_headers(
        cls,
        headers: Iterable[Header],
        field_name: bytes,
        pattern: re.Pattern[bytes] = DECIMAL,
    ) -> DecimalField:
        """Decode a field from an answer, with names in lower case.

        Parameters
        ----------
        pattern
            Form of a valid value, which `float` must accept.
        """
        texts = [
            text.strip()
            for name, payload in headers
            if name == field_name
            for text in payload.split(b',')
        ]
        return cls(
            tuple(float(text) for text in texts if pattern.fullmatch(text)),
            tuple(
                text[:QUOTED_BYTES_MAX].decode('latin-1')
                for text in texts
                if not pattern.fullmatch(text)
            ),
        )
