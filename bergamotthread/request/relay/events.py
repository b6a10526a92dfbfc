"""Splitting of a stream into complete server-sent events."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.connection.event_buffer import (
    EventBuffer,
    EventTooLongError,
)

# Bytes of events without a number that may follow one another.
UNNUMBERED_BYTES_MAX = 65_536
# Each of them counts as so many bytes at least, for the work that it takes.
UNNUMBERED_BYTES_MIN = 64
# Digits of a number of 64 bits; a longer one is not the number of an event.
_EVENT_ID_DIGITS_MAX = 18


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Parameters
    ----------
    event_id
        Number in the ``id`` field; None if it is missing or not a number.
    """

    payload: bytes
    event_id: int | None

    @property
    def has_data(self) -> bool:
        """Return whether it holds more than comments that keep alive."""
        return any(
            line.startswith(b'data') for line in self.payload.splitlines()
        )


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        self._buffer = EventBuffer()
        self._unnumbered_bytes = 0

    @property
    def partial_bytes(self) -> int:
        """Return the length of the incomplete event that is buffered."""
        return self._buffer.partial_bytes

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return self.partial_bytes > 0

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that end in `received`.

        Raises
        ------
        EventTooLongError
            If an event does not end within `EVENT_BYTES_MAX` bytes, or those
            without a number go on for more than `UNNUMBERED_BYTES_MAX`.
        """
        events = []
        for payload in self._buffer.feed(received):
            event = StreamEvent(payload, _event_id(payload))
            events.append(event)
            self._count_unnumbered(event)
        return events

    def _count_unnumbered(self, event: StreamEvent) -> None:
        if event.event_id is not None:
            self._unnumbered_bytes = 0
            return
        event_bytes = max(len(event.payload), UNNUMBERED_BYTES_MIN)
        self._unnumbered_bytes += event_bytes
        if self._unnumbered_bytes > UNNUMBERED_BYTES_MAX:
            raise EventTooLongError(
                f'{self._unnumbered_bytes} bytes of events without a number, '
                f'expected at most {UNNUMBERED_BYTES_MAX}',
            )


def _event_id(payload: bytes) -> int | None:
    for line in payload.splitlines():
        name, _, text = line.partition(b':')
        text = text.strip()
        if name != b'id' or len(text) > _EVENT_ID_DIGITS_MAX:
            continue
        if text.isdigit():
            return int(text)
    return None
