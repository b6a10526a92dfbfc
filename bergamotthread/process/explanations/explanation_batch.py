"""Request ids and the batches of refusals that they name."""

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
    """Return an id that no other process has, for one process start."""
    return secrets.token_hex(_WRITER_ID_BYTES)


@dataclass(frozen=True)
class RequestId:
    """Id of a refused request: the writer, its batch and the place in it.

    Parameters
    ----------
    index
        Place in the batch; None where the refusal could not be kept.
    """

    writer: str
    batch: int
    index: int | None

    @classmethod
    def from_text(cls, text: str) -> RequestId | None:
        """Return the id that a text holds, or None where it is none."""
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
        place = 'lost' if self.index is None else self.index
        return f'req-{self.writer}-{self.batch}-{place}'


class ExplanationBatch(msgspec.Struct, frozen=True):
    """Refusals that one process wrote together.

    `lost_by_reason` counts the refusals that were not kept since the batch
    before.
    """

    writer: str
    batch: int
    written_ms: int
    refusals_by_id: dict[str, Refusal]
    lost_by_reason: dict[str, int] = {}


def decode_batch(encoded: bytes, name: str) -> ExplanationBatch:
    """Return the batch that an object holds.

    Raises
    ------
    DecodeError
        If the object is no batch.
    """
    try:
        return msgspec.json.decode(encoded, type=ExplanationBatch)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DecodeError(
            f'object {name} is no batch of refusals: {error}',
            step=Step.RECORD,
        ) from error
