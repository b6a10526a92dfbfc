"""Result type of the checks, and time limits that several checks share."""

from __future__ import annotations

from dataclasses import dataclass

# Time after a fault until the deployment counts as undisturbed again; the
# platform's rules allow 3 to 5 s for this.
SETTLE_MS = 5000
# Margin for processes that are delayed because the machine is busy.
BUSY_MS = 1000


@dataclass(frozen=True)
class Finding:
    """A violation of a rule.

    Parameters
    ----------
    request
        Identifier of the request that shows the violation; empty if it is not
        about one request.
    """

    rule: str
    detail: str
    request: str = ''
