"""Members as one process sees them, with the rules that merge two views."""

from __future__ import annotations

import msgspec

from bergamotthread.wire.messages import Member, MemberState

SUSPICION_MS = 40_000
TOMBSTONE_MS = 600_000
REFUTATION_BITS = 16

_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def member_incarnation(process_incarnation: int) -> int:
    """Return the first member incarnation of a process.

    The low 16 bits count refutations, so that a restarted process is above
    every refutation of the one before it.
    """
    return process_incarnation << REFUTATION_BITS


def process_incarnation(incarnation: int) -> int:
    """Return the incarnation of the process that a member belongs to."""
    return incarnation >> REFUTATION_BITS


class _Known(msgspec.Struct):
    """Record of a member and when it turned suspect or dead."""

    member: Member
    doubted_ms: float | None = None


class MemberTable:
    """Records of all members by address, and the own record.

    A record with a higher incarnation replaces one with a lower; of two with
    the same, the later of alive, suspect, leaving and dead holds. All methods
    that change a record return what has to be passed on, if anything.

    Parameters
    ----------
    own
        Record of the process itself.
    suspicion_ms
        Time from suspicion to removal.
    """

    def __init__(self, own: Member, suspicion_ms: float = SUSPICION_MS) -> None:
        self.own = own
        self._suspicion_ms = suspicion_ms
        self._known_by_address: dict[str, _Known] = {}

    @property
    def count(self) -> int:
        """Return the number of records, the own one too."""
        return len(self._known_by_address) + 1

    def get(self, address: str) -> Member | None:
        """Return the record of an address, or None where it is unknown."""
        if address == self.own.address:
            return self.own
        known = self._known_by_address.get(address)
        return known.member if known else None

    def others(self) -> tuple[Member, ...]:
        """Return the records of all other members, dead ones too."""
        return tuple(one.member for one in self._known_by_address.values())

    def add_listed(self, member: Member, now_ms: float) -> bool:
        """Take in a host of the platform's list; return whether it is new.

        A removed member that is still listed stays removed until it is heard.
        """
        known = self._known_by_address.get(member.address)
        if known is not None and known.member.state is MemberState.DEAD:
            known.doubted_ms = now_ms
        if self.get(member.address) is not None:
            return False
        self._known_by_address[member.address] = _Known(member)
        return True

    def merge(self, member: Member, now_ms: float) -> Member | None:
        """Take in a record that another process sent."""
        if member.address == self.own.address:
            return self._refute(member)
        known = self._known_by_address.get(member.address)
        if known is not None and not _replaces(member, known.member):
            return None
        if known is None and member.state is MemberState.DEAD:
            return None
        return self._put(member, now_ms)

    def note_heard(self, address: str, now_ms: float) -> None:
        """Start the time to removal again, since the member was heard."""
        known = self._known_by_address.get(address)
        if known is None or known.doubted_ms is None:
            return
        match known.member.state:
            case MemberState.SUSPECT:
                known.doubted_ms = now_ms
            case MemberState.LEAVING:
                known.doubted_ms = None

    def suspect(self, address: str, now_ms: float) -> Member | None:
        """Suspect a member that didn't answer."""
        known = self._known_by_address.get(address)
        if known is None:
            return None
        match known.member.state:
            case MemberState.ALIVE:
                member = _with_state(known.member, MemberState.SUSPECT)
                return self._put(member, now_ms)
            case MemberState.LEAVING if known.doubted_ms is None:
                known.doubted_ms = now_ms
        return None

    def leave(self) -> Member:
        """Mark the own process as leaving."""
        self.own = _with_state(self.own, MemberState.LEAVING)
        return self.own

    def expire(self, now_ms: float) -> tuple[Member, ...]:
        """Remove members that were suspect for long; forget old removals."""
        removed = []
        for address, known in tuple(self._known_by_address.items()):
            if known.doubted_ms is None:
                continue
            doubted_for_ms = now_ms - known.doubted_ms
            if known.member.state is MemberState.DEAD:
                if doubted_for_ms >= TOMBSTONE_MS:
                    self._known_by_address.pop(address)
            elif doubted_for_ms >= self._suspicion_ms:
                member = _with_state(known.member, MemberState.DEAD)
                removed.append(self._put(member, now_ms))
        return tuple(removed)

    def postpone(self, pause_ms: float) -> None:
        """Extend all timers by a time in which this process was paused."""
        for known in self._known_by_address.values():
            if known.doubted_ms is not None:
                known.doubted_ms += pause_ms

    def _put(self, member: Member, now_ms: float) -> Member:
        doubted = member.state in {MemberState.SUSPECT, MemberState.DEAD}
        doubted_ms = now_ms if doubted else None
        self._known_by_address[member.address] = _Known(member, doubted_ms)
        return member

    def _refute(self, member: Member) -> Member | None:
        own = self.own
        doubted = member.state in {MemberState.SUSPECT, MemberState.DEAD}
        newer_process = process_incarnation(
            member.incarnation
        ) > process_incarnation(own.incarnation)
        if newer_process or not doubted:
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
