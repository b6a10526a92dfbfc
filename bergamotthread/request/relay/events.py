"""Splitting of a stream into complete server-sent events."""

from __future__ import annotations

from dataclasses import dataclass

# Largest event; an event of a model's response takes some hundred bytes.
EVENT_BYTES_MAX = 1_048_576
_BLANK_LINES = (b'\n\n', b'\r\n\r\n')


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


class EventTooLongError(ValueError):
    """An event did not end within `EVENT_BYTES_MAX` bytes."""


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._pending)

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that end in `received`.

        Raises
        ------
        EventTooLongError
            If an event does not end within `EVENT_BYTES_MAX` bytes.
        """
        self._pending += received
        events = []
        while True:
            end = _end_of_event(self._pending)
            if not end:
                break
            payload = self._pending[:end]
            self._pending = self._pending[end:]
            events.append(StreamEvent(payload, _event_id(payload)))
        if len(self._pending) > EVENT_BYTES_MAX:
            raise EventTooLongError(
                f'event of {len(self._pending)} bytes, '
                f'expected at most {EVENT_BYTES_MAX}',
            )
        return events


def _end_of_event(pending: bytes) -> int:
    ends = [
        pending.find(blank) + len(blank)
        for blank in _BLANK_LINES
        if blank in pending
    ]
    return min(ends, default=0)


def _event_id(payload: bytes) -> int | None:
    for line in payload.splitlines():
        name, _, text = line.partition(b':')
        text = text.strip()
        if name == b'id' and text.isdigit():
            return int(text)
    return None
