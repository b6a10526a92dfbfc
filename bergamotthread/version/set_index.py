"""Index of a set of objects that is not yet known to be valid."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from bergamotthread.version.faults import Fault, list_valid
from bergamotthread.version.objects import (
    KINDS,
    Model,
    ObjectSet,
    Route,
    Service,
)
from bergamotthread.wire.messages import Pin


@dataclass(frozen=True)
class SetIndex:
    """A set with the names and capacities that its rules refer to.

    Where a name stands twice the last object counts; the duplicate is a
    fault of its own.
    """

    object_set: ObjectSet
    names_by_kind: dict[str, frozenset[str]]
    models_by_name: dict[str, Model]
    services_by_name: dict[str, Service]
    routes_by_name: dict[str, Route]
    regions_by_failure_domain: dict[str, str]

    @classmethod
    def from_object_set(cls, object_set: ObjectSet) -> SetIndex:
        """Index a set that is not yet known to be valid."""
        return cls(
            object_set=object_set,
            names_by_kind={
                kind: frozenset(one.name for one in getattr(object_set, kind))
                for kind in KINDS
            },
            models_by_name={one.name: one for one in object_set.models},
            services_by_name={one.name: one for one in object_set.services},
            routes_by_name={one.name: one for one in object_set.routes},
            regions_by_failure_domain={
                one.name: one.region for one in object_set.failure_domains
            },
        )

    def check_reference(
        self, path: str, kind: str, name: str
    ) -> Iterator[Fault]:
        """Yield a fault where `name` is no object of `kind`."""
        names = self.names_by_kind[kind]
        if name not in names:
            valid = list_valid(names)
            yield Fault(path, name, f'names none of {kind}; valid: {valid}')

    def check_pin(self, path: str, pin: Pin) -> Iterator[Fault]:
        """Yield faults where a pin names no model, version or adapter."""
        model = self.models_by_name.get(pin.model)
        if model is None:
            yield from self.check_reference(
                f'{path}.model', 'models', pin.model
            )
            return
        if pin.version not in model.versions:
            expected = f'valid of {pin.model}: {list_valid(model.versions)}'
            yield Fault(f'{path}.version', pin.version, expected)
        if pin.adapter and pin.adapter not in model.adapters:
            expected = f'valid of {pin.model}: {list_valid(model.adapters)}'
            yield Fault(f'{path}.adapter', pin.adapter, expected)
