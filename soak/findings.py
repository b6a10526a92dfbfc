"""What a check returns, and the times that several checks allow."""

from __future__ import annotations

from dataclasses import dataclass

# Time that a machine without a fault has had before it counts as calm; the
# rules of the platform give 3 to 5 s.
SETTLE_MS = 5000
# Time for the processes of a busy machine to do what they do at once.
BUSY_MS = 1000


@dataclass(frozen=True)
class Finding:
    """A rule that was broken.

    Parameters
    ----------
    request
        Identifier of the request that shows it; empty if there is none.
    """

    rule: str
    detail: str
    request: str = ''
