"""Request ids and the batches of refusals that they refer to."""

from __future__ import annotations

import re
import secrets
from dataclasses import dataclass

import msgspec

from bergamotthread.errors import DecodeError, Step
from bergamotthread.request.refusal import Refusal

OBJECT_PREFIX = 'explanations'

_WRITER_ID_BYTES = 8
_ID_PATTERN = re.compile(
    r'req-([0-9a-z]{1,32})-([0-9]{1,12})-(?:([0-9]{1,9})|(lost))',
    re.ASCII,
)


def new_writer_id() -> str:
    """Return a unique writer id for one run of a process."""
    return secrets.token_hex(_WRITER_ID_BYTES)


@dataclass(frozen=True)
class RequestId:
    """Id of a refused request: writer, batch and index in the batch.

    Parameters
    ----------
    index
        Index in the batch; None if the refusal could not be kept.
    """

    writer: str
    batch: int
    index: int | None

    @classmethod
    def from_text(cls, text: str) -> RequestId | None:
        """Return the id that `text` represents, or None if it is not an id."""
        match = _ID_PATTERN.fullmatch(text)
        if match is None:
            return None
        writer, batch, index, _ = match.groups()
        return cls(
            writer=writer,
            batch=int(batch),
            index=None if index is None else int(index),
        )

    @property
    def object_name(self) -> str:
        """Return the name of the object that holds the batch."""
        return f'{OBJECT_PREFIX}/{self.writer}/{self.batch:012}'

    def __str__(self) -> str:
        index = 'lost' if self.index is None else self.index
        return f'req-{self.writer}-{self.batch}-{index}'


class ExplanationBatch(msgspec.Struct, frozen=True):
    """Refusals that one process wrote together.

    `lost_by_reason` counts the refusals that could not be kept since the
    previous batch.
    """

    writer: str
    batch: int
    written_ms: int
    refusals_by_id: dict[str, Refusal]
    lost_by_reason: dict[str, int] = {}


def decode_batch(encoded: bytes, name: str) -> ExplanationBatch:
    """Return the batch that an object contains.

    Raises
    ------
    DecodeError
        If the object is not a batch.
    """
    try:
        return msgspec.json.decode(encoded, type=ExplanationBatch)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DecodeError(
            f'object {name} is no batch of refusals: {error}',
            step=Step.RECORD,
        ) from error
