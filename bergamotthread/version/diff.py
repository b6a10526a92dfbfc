"""Differences between two sets of objects, as change sets and as text."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from bergamotthread.version.objects import KINDS, ObjectSet

MAX_SHOWN_VALUE_CHARS = 60


class ObjectName(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    order=True,
):
    """Kind and name of one object, such as `teams` and `rosario-gears`."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind}/{self.name}'


class ChangeSet(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Changes that turn one set into the next.

    `upserts` holds added and changed objects. Its `outage_lease_ms` is that of
    the next set, even if it did not change.
    """

    upserts: ObjectSet = ObjectSet()
    removals: tuple[ObjectName, ...] = ()

    def names(self) -> frozenset[ObjectName]:
        """Return the names of all objects that the change set touches."""
        upserted = (
            ObjectName(kind, upsert.name)
            for kind in KINDS
            for upsert in getattr(self.upserts, kind)
        )
        return frozenset(upserted) | frozenset(self.removals)


def diff_sets(old: ObjectSet, new: ObjectSet) -> ChangeSet:
    """Return the change set that turns `old` into `new`.

    The order of objects within a kind is not a difference.
    """
    removals: list[ObjectName] = []
    upserts_by_kind: dict[str, tuple[Any, ...]] = {}
    for kind in KINDS:
        old_by_name = _index_by_name(old, kind)
        new_by_name = _index_by_name(new, kind)
        upserts_by_kind[kind] = tuple(
            new_object
            for name, new_object in new_by_name.items()
            if old_by_name.get(name) != new_object
        )
        removals.extend(
            ObjectName(kind, name)
            for name in old_by_name
            if name not in new_by_name
        )
    upserts = ObjectSet(outage_lease_ms=new.outage_lease_ms, **upserts_by_kind)
    return ChangeSet(upserts, tuple(removals))


def apply_changes(old: ObjectSet, changes: ChangeSet) -> ObjectSet:
    """Return `old` with `changes` applied.

    Objects keep their order; added ones come last within their kind.
    """
    changed_by_kind: dict[str, tuple[Any, ...]] = {}
    changed_kinds = {name.kind for name in changes.names()}
    for kind in KINDS:
        if kind not in changed_kinds:
            continue
        by_name = _index_by_name(old, kind) | _index_by_name(
            changes.upserts, kind
        )
        for removal in changes.removals:
            if removal.kind == kind:
                by_name.pop(removal.name, None)
        changed_by_kind[kind] = tuple(by_name.values())
    return msgspec.structs.replace(
        old,
        outage_lease_ms=changes.upserts.outage_lease_ms,
        **changed_by_kind,
    )


def render_diff(old: ObjectSet, new: ObjectSet) -> str:
    """Return the difference as text, one line per object or field.

    Added objects are marked `+`, removed ones `-`, changed fields `~`.
    """
    return '\n'.join(_render_lines(old, new))


def _index_by_name(object_set: ObjectSet, kind: str) -> dict[str, Any]:
    return {named.name: named for named in getattr(object_set, kind)}


def _render_lines(old: ObjectSet, new: ObjectSet) -> Iterator[str]:
    changes = diff_sets(old, new)
    for removal in sorted(changes.removals):
        yield f'- {removal}'
    for kind in KINDS:
        old_by_name = _index_by_name(old, kind)
        for upsert in getattr(changes.upserts, kind):
            old_object = old_by_name.get(upsert.name)
            if old_object is None:
                yield f'+ {kind}/{upsert.name}'
            else:
                yield from _render_fields(
                    f'{kind}/{upsert.name}', old_object, upsert
                )
    if old.outage_lease_ms != new.outage_lease_ms:
        yield f'~ {_render_field("outage_lease_ms", old, new)}'


def _render_fields(
    name: str,
    old: msgspec.Struct,
    new: msgspec.Struct,
) -> Iterator[str]:
    for field in new.__struct_fields__:
        if getattr(old, field) != getattr(new, field):
            yield f'~ {name}.{_render_field(field, old, new)}'


def _render_field(field: str, old: msgspec.Struct, new: msgspec.Struct) -> str:
    return (
        f'{field}: {_encode_field(old, field)} -> {_encode_field(new, field)}'
    )


def _encode_field(config_object: msgspec.Struct, field: str) -> str:
    encoded = msgspec.json.encode(getattr(config_object, field)).decode()
    if len(encoded) <= MAX_SHOWN_VALUE_CHARS:
        return encoded
    return f'{encoded[:MAX_SHOWN_VALUE_CHARS]}...'
