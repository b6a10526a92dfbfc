"""Splitting of a stream into complete server-sent events."""

from __future__ import annotations

from dataclasses import dataclass

# Largest event; an event of a model's response takes some hundred bytes.
EVENT_BYTES_MAX = 1_048_576
# Bytes of events without a number that may follow one another.
UNNUMBERED_BYTES_MAX = 65_536
# Digits of a number of 64 bits; a longer one is not the number of an event.
_EVENT_ID_DIGITS_MAX = 18
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

    @property
    def has_data(self) -> bool:
        """Return whether it holds more than comments that keep alive."""
        return any(
            line.startswith(b'data') for line in self.payload.splitlines()
        )


class EventTooLongError(ValueError):
    """A stream went on without the end, or the number, of an event."""


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        self._pending = b''
        self._unnumbered_bytes = 0

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._pending)

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that end in `received`.

        Raises
        ------
        EventTooLongError
            If an event does not end within `EVENT_BYTES_MAX` bytes, or those
            without a number go on for more than `UNNUMBERED_BYTES_MAX`.
        """
        self._pending += received
        events = []
        while True:
            end = _end_of_event(self._pending)
            if not end:
                break
            payload = self._pending[:end]
            self._pending = self._pending[end:]
            event = StreamEvent(payload, _event_id(payload))
            events.append(event)
            self._count_unnumbered(event)
        if len(self._pending) > EVENT_BYTES_MAX:
            raise EventTooLongError(
                f'event of {len(self._pending)} bytes, '
                f'expected at most {EVENT_BYTES_MAX}',
            )
        return events

    def _count_unnumbered(self, event: StreamEvent) -> None:
        if event.event_id is not None:
            self._unnumbered_bytes = 0
            return
        self._unnumbered_bytes += len(event.payload)
        if self._unnumbered_bytes > UNNUMBERED_BYTES_MAX:
            raise EventTooLongError(
                f'{self._unnumbered_bytes} bytes of events without a number, '
                f'expected at most {UNNUMBERED_BYTES_MAX}',
            )


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
        if name != b'id' or len(text) > _EVENT_ID_DIGITS_MAX:
            continue
        if text.isdigit():
            return int(text)
    return None
