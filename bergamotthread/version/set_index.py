"""Index of a set of objects for validation."""

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
    """A set of objects with the lookups that validation rules need.

    If a name occurs twice, the last object is used; the duplicate is reported
    as a separate fault.
    """

    object_set: ObjectSet
    names_by_kind: dict[str, frozenset[str]]
    models_by_name: dict[str, Model]
    services_by_name: dict[str, Service]
    routes_by_name: dict[str, Route]
    regions_by_failure_domain: dict[str, str]

    @classmethod
    def from_object_set(cls, object_set: ObjectSet) -> SetIndex:
        """Return the index of a set that may not be valid."""
        return cls(
            object_set=object_set,
            names_by_kind={
                kind: frozenset(
                    named.name for named in getattr(object_set, kind)
                )
                for kind in KINDS
            },
            models_by_name={model.name: model for model in object_set.models},
            services_by_name={
                service.name: service for service in object_set.services
            },
            routes_by_name={route.name: route for route in object_set.routes},
            regions_by_failure_domain={
                domain.name: domain.region
                for domain in object_set.failure_domains
            },
        )

    def check_reference(
        self, path: str, kind: str, name: str
    ) -> Iterator[Fault]:
        """Yield a fault if `name` is not the name of an object of `kind`."""
        names = self.names_by_kind[kind]
        if name not in names:
            valid = list_valid(names)
            yield Fault(path, name, f'not found in {kind}; valid: {valid}')

    def check_pin(self, path: str, pin: Pin) -> Iterator[Fault]:
        """Yield faults for a pin's unknown model, version or adapter."""
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
