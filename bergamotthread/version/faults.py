"""Faults of a set of objects, and checks of numbers."""

from __future__ import annotations

import math
import reprlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_LISTED_NAMES = 8
_repr = reprlib.Repr()
_repr.maxstring = 80
_repr.maxother = 80


@dataclass(frozen=True)
class Fault:
    """Value at a JSON path that violates a rule.

    Parameters
    ----------
    path
        JSON path in the set, such as `$.routes[2].fallback`.
    found
        The offending value.
    expected
        What was expected, with the valid values if there are few.
    """

    path: str
    found: object
    expected: str

    @property
    def shown_value(self) -> str:
        """Return the offending value, shortened for a message."""
        return _repr.repr(self.found)


def list_valid(names: Iterable[str]) -> str:
    """Return the first valid names, sorted, and the number of the others."""
    ordered = sorted(names)
    shown = ', '.join(ordered[:MAX_LISTED_NAMES]) or 'none is defined'
    hidden = len(ordered) - MAX_LISTED_NAMES
    return f'{shown} and {hidden} more' if hidden > 0 else shown


def check_range(
    path: str,
    number: float,
    low: float,
    high: float = math.inf,
) -> Iterator[Fault]:
    """Yield a fault if a number is not finite or outside a closed range."""
    if not low <= number <= high or not math.isfinite(number):
        yield Fault(path, number, f'expected a number from {low} to {high}')


def check_positive(path: str, number: float) -> Iterator[Fault]:
    """Yield a fault if a number is not finite and above 0."""
    if number <= 0 or not math.isfinite(number):
        yield Fault(path, number, 'expected a finite number above 0')
