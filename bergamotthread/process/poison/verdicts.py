"""What the poison guard says of a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Clear:
    """The request may run on any upstream."""


@dataclass(frozen=True)
class Suspect:
    """Upstreams died while running the request.

    It may run, but not on an upstream that runs another suspect request.

    Parameters
    ----------
    is_tried
        Whether the next death quarantines it, and an attempt of this process
        that shows whether it does is under way.
    """

    deaths: int
    is_tried: bool = False


@dataclass(frozen=True)
class Undecided:
    """The last death may still prove part of the loss of a failure domain.

    The request has to wait for `wait_ms` until this is decided.
    """

    deaths: int
    wait_ms: float


@dataclass(frozen=True)
class Quarantined:
    """The request is refused at every entry.

    Parameters
    ----------
    is_part
        Whether a part of its prompt is quarantined, not its whole content.
    """

    deaths: int
    remaining_ms: float
    is_part: bool = False


PoisonVerdict = Clear | Suspect | Undecided | Quarantined


def worse_verdict(one: PoisonVerdict, other: PoisonVerdict) -> PoisonVerdict:
    """Return the verdict that restricts an attempt more."""
    return max(one, other, key=_severity)


def _severity(verdict: PoisonVerdict) -> tuple[int, bool]:
    match verdict:
        case Clear():
            return 0, False
        case Suspect(is_tried=is_tried):
            return 1, is_tried
        case Undecided():
            return 2, False
        case Quarantined():
            return 3, False
