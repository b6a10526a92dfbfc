"""Bytes of an event stream, split where an event ends."""

from __future__ import annotations

import re

# Largest event; an event of a model's response takes some hundred bytes.
EVENT_BYTES_MAX = 1_048_576
_BLANK_LINE = re.compile(rb'\n\n|\r\n\r\n')
# Bytes of a blank line that may have arrived without its last byte.
_CUT_BYTES_MAX = 3


class EventTooLongError(ValueError):
    """A stream went on without the end, or the number, of an event."""


class EventBuffer:
    """Collects the bytes of a stream until an event is complete.

    Each byte is searched once, however small the pieces are.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched_bytes = 0

    @property
    def partial_bytes(self) -> int:
        """Return the length of the incomplete event that is buffered."""
        return len(self._pending)

    def feed(self, received: bytes) -> list[bytes]:
        """Return the events that end in `received`, with their blank lines.

        Raises
        ------
        EventTooLongError
            If an event does not end within `EVENT_BYTES_MAX` bytes.
        """
        pending = self._pending
        pending += received
        events = []
        start = 0
        for blank_line in _BLANK_LINE.finditer(pending, self._searched_bytes):
            events.append(bytes(pending[start : blank_line.end()]))
            start = blank_line.end()
        del pending[:start]
        self._searched_bytes = max(len(pending) - _CUT_BYTES_MAX, 0)
        if len(pending) > EVENT_BYTES_MAX:
            raise EventTooLongError(
                f'event of {len(pending)} bytes, '
                f'expected at most {EVENT_BYTES_MAX}'
            )
        return events
