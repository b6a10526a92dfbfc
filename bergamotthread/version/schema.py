"""JSON Schema of the configuration objects, for editors."""

from __future__ import annotations

import msgspec

from bergamotthread.version.objects import ObjectSet

SCHEMA_DIALECT = 'https://json-schema.org/draft/2020-12/schema'


def object_set_schema() -> bytes:
    """Return the JSON Schema of a set of objects, indented.

    It covers names, types and unknown fields of each object. References to
    other objects are checked only by `bergamotthread.version.checks`.
    """
    schema = {
        '$schema': SCHEMA_DIALECT,
        'title': 'bergamotthread objects',
        **msgspec.json.schema(ObjectSet),
    }
    return msgspec.json.format(msgspec.json.encode(schema))
