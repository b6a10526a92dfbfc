"""Finds all errors of a JSON document that should encode a structure."""

from __future__ import annotations

import difflib
import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

MAX_SHOWN_CHARACTERS = 80

_MISSING = '(missing)'


@dataclass(frozen=True)
class Problem:
    """One error of a document.

    Parameters
    ----------
    path
        JSON path such as ``$.place.address``.
    found
        Value at the path, as JSON.
    expected
        Description of what was expected instead.
    """

    path: str
    found: str
    expected: str


def show_json(found: object) -> str:
    """Return a value as JSON, cut short for use in a message."""
    encoded = msgspec.json.encode(found).decode()
    if len(encoded) > MAX_SHOWN_CHARACTERS:
        return f'{encoded[:MAX_SHOWN_CHARACTERS]}...'
    return encoded


def find_problems(
    document: object,
    kind: type[msgspec.Struct],
    path: str = '$',
) -> tuple[Problem, ...]:
    """Return all errors of a document that should encode a `kind`."""
    if not isinstance(document, dict):
        return (Problem(path, show_json(document), 'an object'),)
    return (
        *_find_unknown(document, kind, path),
        *_find_in_fields(document, kind, path),
    )


def _find_unknown(
    document: dict[str, object],
    kind: type[msgspec.Struct],
    path: str,
) -> Iterator[Problem]:
    names = [field.encode_name for field in msgspec.structs.fields(kind)]
    for name in document:
        if name not in names:
            expected = _describe_names(name, names)
            yield Problem(f'{path}.{name}', f'field {name!r}', expected)


def _describe_names(name: str, names: list[str]) -> str:
    similar = difflib.get_close_matches(name[:MAX_SHOWN_CHARACTERS], names, 1)
    if similar:
        return f'{similar[0]!r}'
    return f'one of {", ".join(sorted(names))}'


def _find_in_fields(
    document: dict[str, object],
    kind: type[msgspec.Struct],
    path: str,
) -> Iterator[Problem]:
    for field in msgspec.structs.fields(kind):
        name = field.encode_name
        found = document.get(name, msgspec.UNSET)
        if found is not msgspec.UNSET:
            yield from _find_in_value(found, field.type, f'{path}.{name}')
        elif field.required:
            yield Problem(f'{path}.{name}', _MISSING, 'this field')


def _find_in_value(
    found: object,
    kind: object,
    path: str,
) -> Iterator[Problem]:
    struct = _struct_of(kind)
    if struct is not None and isinstance(found, dict):
        yield from find_problems(found, struct, path)
        return
    try:
        msgspec.convert(found, kind)
    except msgspec.ValidationError as error:
        expected, _, inner = str(error).partition(' - at `$')
        value_path = f'{path}{inner.rstrip("`")}'
        yield Problem(
            value_path, show_json(found), expected.removeprefix('Expected ')
        )


def _struct_of(kind: object) -> type[msgspec.Struct] | None:
    options = typing.get_args(kind) if _is_union(kind) else (kind,)
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _is_union(kind: object) -> bool:
    return typing.get_origin(kind) in {typing.Union, types.UnionType}
