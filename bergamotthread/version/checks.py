"""Validation of a complete set of objects before it is published."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from bergamotthread.errors import BergamotError, Step
from bergamotthread.version.check_rules import find_faults
from bergamotthread.version.faults import Fault
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.set_index import SetIndex

MAX_SET_BYTES = 64 * 1024 * 1024
MAX_SHOWN_CHARS = 120

_DECODE_MESSAGE = re.compile(
    r'^(?P<expected>.*?)(?: - at `(?P<path>[^`]*)`)?$', re.S
)
_PATH_STEP = re.compile(r'\.(?P<field>[^.\[]+)|\[(?P<index>\d+)\]')


class CheckError(BergamotError):
    """One fault of a set: JSON path, offending value, what was expected."""

    def __init__(self, fault: Fault, *, source: str = '') -> None:
        prefix = f'{source}: ' if source else ''
        super().__init__(
            f'{prefix}{fault.path}: {fault.shown_value}: {fault.expected}',
            step=Step.CHECK,
        )
        self.fault = fault


class ObjectsError(ExceptionGroup[CheckError]):
    """All faults of one set."""


def check_object_set(object_set: ObjectSet, *, source: str = '') -> None:
    """Check references, names, ranges and reachability in a set.

    Parameters
    ----------
    source
        Name of the file with the set, for error messages.

    Raises
    ------
    ObjectsError
        With one `CheckError` for each fault.
    """
    faults = find_faults(SetIndex.from_object_set(object_set))
    errors = [CheckError(fault, source=source) for fault in faults]
    if errors:
        raise ObjectsError('the set of objects is not valid', errors)


def load_object_set(path: str | Path) -> ObjectSet:
    """Load and check a set of objects from a JSON file.

    Raises
    ------
    ObjectsError
        If the file can't be read, is not valid JSON, or fails the check.
    """
    source = str(path)
    try:
        encoded = Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or 'cannot be read'
        raise _group_of_one(Fault('$', source, reason), source) from error
    object_set = decode_object_set(encoded, source=source)
    check_object_set(object_set, source=source)
    return object_set


def decode_object_set(encoded: bytes, *, source: str = '') -> ObjectSet:
    """Decode a set of objects from JSON, without checking it as a whole.

    Raises
    ------
    ObjectsError
        If the bytes exceed `MAX_SET_BYTES` or do not decode, with the JSON
        path, the offending value and what was expected.
    """
    if len(encoded) > MAX_SET_BYTES:
        expected = f'expected at most {MAX_SET_BYTES} bytes'
        raise _group_of_one(Fault('$', len(encoded), expected), source)
    try:
        return msgspec.json.decode(encoded, type=ObjectSet)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _group_of_one(
            _decode_fault(str(error), encoded), source
        ) from error


def _group_of_one(fault: Fault, source: str) -> ObjectsError:
    return ObjectsError(
        'the set of objects cannot be read',
        [CheckError(fault, source=source)],
    )


def _decode_fault(message: str, encoded: bytes) -> Fault:
    match = _DECODE_MESSAGE.match(message)
    path = (match and match['path']) or '$'
    expected = match['expected'] if match else message
    try:
        document = msgspec.json.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Fault('$', _shorten(encoded), expected)
    return Fault(path, _value_at(document, path), expected)


def _shorten(encoded: bytes) -> str:
    return encoded[:MAX_SHOWN_CHARS].decode(errors='replace')


def _value_at(document: Any, path: str) -> object:
    for step in _PATH_STEP.finditer(path):
        try:
            document = document[step['field'] or int(step['index'])]
        except (LookupError, TypeError):
            break
    return document
