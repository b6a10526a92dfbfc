"""Builds and upstreams at which a request may run during a roll-out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BuildPlan:
    """Where a request may run.

    Parameters
    ----------
    only
        The only build that may be chosen; None for any that isn't avoided.
    avoided
        Builds that must not be chosen.
    instances
        The only upstreams of `only` that may be chosen; None for all of them.
    """

    only: str | None = None
    avoided: frozenset[str] = frozenset()
    instances: frozenset[str] | None = None

    def admits(self, instance: str, build: str) -> bool:
        """Return whether an upstream of a build may be chosen."""
        if build in self.avoided:
            return False
        if self.only is not None and build != self.only:
            return False
        return self.instances is None or instance in self.instances

    def without_target(self) -> BuildPlan:
        """Return the plan of a request for which the target has no room."""
        if self.only is None:
            return self
        return BuildPlan(avoided=self.avoided | {self.only})

    def for_capacity(self) -> BuildPlan:
        """Return the plan that most requests follow, for what they share."""
        return self if self.instances is None else self.without_target()


ANY_BUILD = BuildPlan()
