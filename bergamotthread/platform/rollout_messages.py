"""Messages between entries about roll-outs, as compressed JSON."""

from __future__ import annotations

import zlib

import msgspec

from bergamotthread.process.rollouts.reports import (
    Directive,
    EntryReport,
    RolloutRecord,
)

# Largest message after decompression.
MESSAGE_BYTES_MAX = 4_194_304
# Largest count in a report.
COUNT_MAX = 1_000_000_000
# The cells of a report are much alike, so that little effort is enough.
_COMPRESSION_LEVEL = 1


class MessageError(ValueError):
    """A message is too long or has no valid form."""


class Reported(msgspec.Struct, frozen=True, tag='reported'):
    """Report of an entry to the one that decides."""

    service: str
    report: EntryReport


class Halted(msgspec.Struct, frozen=True, tag='halted'):
    """Nothing is to be sent to the target of an order any more.

    `forward` asks to pass the message on in the region.
    """

    service: str
    order_number: int
    forward: bool = False


class Ended(msgspec.Struct, frozen=True, tag='ended'):
    """A roll-out has ended, by its row in the store."""

    record: RolloutRecord
    forward: bool = False


class Answered(msgspec.Struct, frozen=True):
    """Answer to a report: what the entry may do, or the end of the roll-out.

    Both are None if the asked entry doesn't know the order yet.
    """

    directive: Directive | None = None
    record: RolloutRecord | None = None


RolloutMessage = Reported | Halted | Ended

_message_decoder: msgspec.json.Decoder[RolloutMessage] = msgspec.json.Decoder(
    RolloutMessage
)
_answer_decoder = msgspec.json.Decoder(Answered)


def encode(message: RolloutMessage | Answered) -> bytes:
    """Return an encoded message."""
    return zlib.compress(msgspec.json.encode(message), _COMPRESSION_LEVEL)


def decode_message(encoded: bytes) -> RolloutMessage:
    """Return a message.

    Raises
    ------
    MessageError
        If it is too long or has no valid form.
    """
    try:
        message = _message_decoder.decode(_decompress(encoded))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MessageError(f'message on a roll-out: {error}') from error
    if isinstance(message, Reported):
        _check_counts(message.report)
    return message


def decode_answer(encoded: bytes) -> Answered:
    """Return an answer.

    Raises
    ------
    MessageError
        If it is too long or has no valid form.
    """
    try:
        return _answer_decoder.decode(_decompress(encoded))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MessageError(f'answer on a roll-out: {error}') from error


def _check_counts(report: EntryReport) -> None:
    counts = [
        report.requests,
        report.sent,
        report.granted,
        report.wanted,
        report.former_running,
    ]
    for cell in report.cells:
        counts.extend((cell.answered, cell.failed, cell.answered - cell.failed))
        counts.extend((cell.latency_bucket, cell.pace_bucket))
    if min(counts) < 0 or max(counts) > COUNT_MAX:
        raise MessageError(
            f'report of {report.host} counts {min(counts)} to {max(counts)}; '
            f'expected 0 to {COUNT_MAX}, and no more failures than answers'
        )


def _decompress(encoded: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(encoded, MESSAGE_BYTES_MAX)
    except zlib.error as error:
        raise MessageError(f'not compressed: {error}') from error
    if not decompressor.eof:
        raise MessageError(
            f'cut, or over {MESSAGE_BYTES_MAX} bytes after decompression'
        )
    return plain
