"""Member records of one process, and the rules for merging them."""

from __future__ import annotations

import msgspec

from bergamotthread.wire.messages import Member, MemberState

MEMBER_SUSPICION_TIMEOUT_MS = 40_000
TOMBSTONE_RETENTION_MS = 600_000
REFUTATION_BITS = 16

_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def member_incarnation(process_incarnation: int) -> int:
    """Return the first member incarnation of a process.

    The low 16 bits count refutations, so that a restarted process supersedes
    all refutations of its predecessor.
    """
    return process_incarnation << REFUTATION_BITS


def process_incarnation(incarnation: int) -> int:
    """Return the process incarnation that a member incarnation contains."""
    return incarnation >> REFUTATION_BITS


class _Known(msgspec.Struct):
    """Record of a member, and the start of its timer while it is not alive.

    `doubted_ms` is when the timer started: when the member became suspect or
    dead, was last heard from while suspect or listed while dead, or first
    failed to answer while leaving. It is None if no timer runs.
    """

    member: Member
    doubted_ms: float | None = None


class MemberTable:
    """Records of all members by address, and the own record.

    A record with a higher incarnation replaces one with a lower. With equal
    incarnations, the later of the states alive, suspect, leaving and dead wins.
    Methods that change a record return it if it has to be propagated.

    Parameters
    ----------
    own
        Record of the process itself.
    suspicion_timeout_ms
        Time from suspicion to removal, in milliseconds.
    """

    def __init__(
        self,
        own: Member,
        suspicion_timeout_ms: float = MEMBER_SUSPICION_TIMEOUT_MS,
    ) -> None:
        self.own = own
        self._suspicion_timeout_ms = suspicion_timeout_ms
        self._record_by_address: dict[str, _Known] = {}

    @property
    def count(self) -> int:
        """Return the number of records, including the own one."""
        return len(self._record_by_address) + 1

    def get(self, address: str) -> Member | None:
        """Return the record of an address, or None if it is unknown."""
        if address == self.own.address:
            return self.own
        record = self._record_by_address.get(address)
        return record.member if record else None

    def others(self) -> tuple[Member, ...]:
        """Return the records of all other members, including dead ones."""
        return tuple(
            record.member for record in self._record_by_address.values()
        )

    def add_listed(self, member: Member, now_ms: float) -> bool:
        """Add a host of the platform's list; return whether it is new.

        A removed member that is still listed stays removed until it is heard
        from.
        """
        record = self._record_by_address.get(member.address)
        if record is not None and record.member.state is MemberState.DEAD:
            record.doubted_ms = now_ms
        if self.get(member.address) is not None:
            return False
        self._record_by_address[member.address] = _Known(member)
        return True

    def merge(self, member: Member, now_ms: float) -> Member | None:
        """Merge a record that another process sent."""
        if member.address == self.own.address:
            return self._refute(member)
        record = self._record_by_address.get(member.address)
        if record is not None and not _replaces(member, record.member):
            return None
        if record is None and member.state is MemberState.DEAD:
            return None
        return self._put(member, now_ms)

    def record_heard(self, address: str, now_ms: float) -> None:
        """Record that a member was heard from just now.

        This restarts the removal timer of a suspected member and stops that of
        a leaving one.
        """
        record = self._record_by_address.get(address)
        if record is None or record.doubted_ms is None:
            return
        match record.member.state:
            case MemberState.SUSPECT:
                record.doubted_ms = now_ms
            case MemberState.LEAVING:
                record.doubted_ms = None

    def suspect(self, address: str, now_ms: float) -> Member | None:
        """Mark a member that didn't answer as suspected."""
        record = self._record_by_address.get(address)
        if record is None:
            return None
        match record.member.state:
            case MemberState.ALIVE:
                member = _with_state(record.member, MemberState.SUSPECT)
                return self._put(member, now_ms)
            case MemberState.LEAVING if record.doubted_ms is None:
                record.doubted_ms = now_ms
        return None

    def leave(self) -> Member:
        """Mark the own process as leaving."""
        self.own = _with_state(self.own, MemberState.LEAVING)
        return self.own

    def expire(self, now_ms: float) -> tuple[Member, ...]:
        """Remove members whose timer has run out, and evict old tombstones."""
        removed = []
        for address, record in tuple(self._record_by_address.items()):
            if record.doubted_ms is None:
                continue
            elapsed_ms = now_ms - record.doubted_ms
            if record.member.state is MemberState.DEAD:
                if elapsed_ms >= TOMBSTONE_RETENTION_MS:
                    self._record_by_address.pop(address)
            elif elapsed_ms >= self._suspicion_timeout_ms:
                member = _with_state(record.member, MemberState.DEAD)
                removed.append(self._put(member, now_ms))
        return tuple(removed)

    def extend_timers(self, pause_ms: float) -> None:
        """Extend all timers by the time that this process was paused."""
        for record in self._record_by_address.values():
            if record.doubted_ms is not None:
                record.doubted_ms += pause_ms

    def _put(self, member: Member, now_ms: float) -> Member:
        is_unresponsive = member.state in {
            MemberState.SUSPECT,
            MemberState.DEAD,
        }
        doubted_ms = now_ms if is_unresponsive else None
        self._record_by_address[member.address] = _Known(member, doubted_ms)
        return member

    def _refute(self, member: Member) -> Member | None:
        own = self.own
        is_unresponsive = member.state in {
            MemberState.SUSPECT,
            MemberState.DEAD,
        }
        is_newer_process = process_incarnation(
            member.incarnation
        ) > process_incarnation(own.incarnation)
        if is_newer_process or not is_unresponsive:
            return None
        if member.incarnation < own.incarnation:
            return None
        self.own = msgspec.structs.replace(
            own, incarnation=member.incarnation + 1
        )
        return self.own


def _replaces(new: Member, known: Member) -> bool:
    if new.incarnation != known.incarnation:
        return new.incarnation > known.incarnation
    return _RANK_BY_STATE[new.state] > _RANK_BY_STATE[known.state]


def _with_state(member: Member, state: MemberState) -> Member:
    return msgspec.structs.replace(member, state=state)
