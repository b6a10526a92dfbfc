"""JSON Schema of the operators' objects, for editors."""

from __future__ import annotations

import msgspec

from bergamotthread.version.objects import ObjectSet

SCHEMA_DIALECT = 'https://json-schema.org/draft/2020-12/schema'


def object_set_schema() -> bytes:
    """Return the JSON Schema of a set, indented.

    It covers names, types and unknown fields of each object. What refers to
    other objects is checked by `bergamotthread.version.checks` alone.
    """
    schema = {
        '$schema': SCHEMA_DIALECT,
        'title': 'bergamotthread objects',
        **msgspec.json.schema(ObjectSet),
    }
    return msgspec.json.format(msgspec.json.encode(schema))
