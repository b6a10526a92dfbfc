"""All checks of a soak."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from soak import (
    answer_checks,
    limit_checks,
    notice_checks,
    poison_checks,
    rollout_checks,
    system_checks,
)
from soak.findings import Finding
from soak.records import Records

Check = Callable[[Records], Iterable[Finding]]

CHECKS: tuple[Check, ...] = (
    answer_checks.check_whole,
    answer_checks.check_prefix,
    answer_checks.check_once,
    answer_checks.check_not_run,
    answer_checks.check_gone,
    answer_checks.check_answered,
    answer_checks.check_begun,
    answer_checks.check_explained,
    system_checks.check_keys,
    system_checks.check_reverts,
    system_checks.check_in_force,
    system_checks.check_drain,
    system_checks.check_planned_stop,
    system_checks.check_repeats,
    system_checks.check_memory,
    notice_checks.check_leaving,
    notice_checks.check_pauses,
    poison_checks.check_poison,
    limit_checks.check_limits,
    limit_checks.check_builds,
    rollout_checks.check_rollouts,
)


def findings_of(
    records: Records,
    checks: Iterable[Check] = CHECKS,
) -> list[Finding]:
    """Run the checks and return their findings."""
    return [finding for check in checks for finding in check(records)]
