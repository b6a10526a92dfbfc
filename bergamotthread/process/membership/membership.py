"""Membership of entries without a coordinator.

Each entry probes one other entry per second, and probes and replies carry
recent changes. A member that answers neither directly nor through others is
suspected. It can refute the suspicion, and is removed only after a timeout.
The platform's host list, which lags behind, provides the seeds. The protocol
follows SWIM (Das, Gupta, Motivala, 2002).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.process.membership.gossip_sender import GossipSender
from bergamotthread.process.membership.host_watch import HostWatch
from bergamotthread.process.membership.member_table import (
    MemberTable,
    member_incarnation,
    process_incarnation,
)
from bergamotthread.process.membership.prober import Prober
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.store.platform import HostEntry, HostList
from bergamotthread.wire.messages import (
    Envelope,
    Member,
    MemberState,
    Probe,
    ProbeReply,
    ProbeRequest,
)

ENTRY_ROLE = 'entry'
MEMBERSHIP_TICK_MS = 250
PROBE_INTERVAL_MS = 1000
SEED_INTERVAL_MS = 5000
JOIN_INTERVAL_MS = 250
# Ticks that are this far apart mean that the process was paused.
PAUSE_DETECTION_MS = 2000
INDIRECT_PROBES = 3
# Assumed before the host list has been read.
UNKNOWN_REACHABLE_FRACTION = 0.1

MemberListener = Callable[[Member], None]
VersionListener = Callable[[str, int], None]


@dataclass
class MembershipCounters:
    """Counts of events since the start, for metrics."""

    suspicions: int = 0
    removals: int = 0
    pauses: int = 0


@dataclass
class _Due:
    """Monotonic times of the last tick and the next probes."""

    ticked_ms: float
    probe_ms: float
    seed_ms: float


class Membership:
    """Members of one deployment as an entry sees them.

    Parameters
    ----------
    transport
        Sends the messages; its incarnation rises with each process start.
    clock
        Clock of the process.
    place
        Address, region and failure domain of the process.
    hosts
        The platform's host list; None if only `peers` are known.
    peers
        Addresses of entries from the settings.
    config_version
        Returns the configuration version in force, which each probe carries.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        place: PlaceSettings,
        hosts: HostList | None = None,
        peers: tuple[str, ...] = (),
        config_version: Callable[[], int] = int,
    ) -> None:
        self.counters = MembershipCounters()
        self.table = MemberTable(_own_member(place, transport.incarnation))
        self.host_watch: HostWatch | None = None
        self._clock = clock
        self._sender = GossipSender(
            transport, clock, self.table, config_version
        )
        self._rng = random.Random(f'{place.address}/{transport.incarnation}')
        self._prober = Prober(self._rng)
        self._seeds = dict.fromkeys(peers)
        self._peers = frozenset(peers)
        self._listed: frozenset[str] | None = None if hosts else frozenset()
        self._listeners: list[MemberListener] = []
        self._version_listeners: list[VersionListener] = []
        now_ms = clock.now_ms()
        self._due = _Due(now_ms, now_ms, now_ms)
        self._live: tuple[Member, ...] | None = None
        if hosts is not None:
            self.host_watch = HostWatch(
                transport, clock, place.region, hosts, self.region_entries
            )
            self.host_watch.add_listener(self.apply_hosts)

    def add_listener(self, listener: MemberListener) -> None:
        """Call `listener` with each record that changes."""
        self._listeners.append(listener)

    def add_version_listener(self, listener: VersionListener) -> None:
        """Call `listener` with sender and version of each probe and reply."""
        self._version_listeners.append(listener)

    def live_members(self) -> tuple[Member, ...]:
        """Return all members that aren't removed, sorted by address.

        The own process is included, even while it is leaving.
        """
        if self._live is None:
            members = [
                member
                for member in (self.table.own, *self.table.others())
                if member.state is not MemberState.DEAD
            ]
            members.sort(key=lambda member: member.address)
            self._live = tuple(members)
        return self._live

    def live_entries(self) -> tuple[str, ...]:
        """Return the addresses of all members that aren't removed."""
        return tuple(member.address for member in self.live_members())

    def responsive_entries(self) -> tuple[str, ...]:
        """Return the addresses of members neither suspected nor leaving."""
        return tuple(
            member.address
            for member in self.live_members()
            if member.state is MemberState.ALIVE
        )

    def region_entries(self) -> tuple[str, ...]:
        """Return the responsive entries of the own region."""
        return tuple(
            member.address
            for member in self.live_members()
            if member.state is MemberState.ALIVE
            and member.region == self.table.own.region
        )

    def reachable_fraction(self) -> float:
        """Return the fraction of known and listed entries that respond.

        Small until the host list has been read once, since a process that has
        just started doesn't know how many other entries there are.
        """
        if self._listed is None:
            return UNKNOWN_REACHABLE_FRACTION
        responsive = frozenset(self.responsive_entries())
        all_entries = responsive.union(
            self.live_entries(), self._listed, self._peers
        )
        return len(responsive) / len(all_entries)

    def entry_places(self) -> tuple[PlaceSettings, ...]:
        """Return the places of the live entries that aren't leaving."""
        return tuple(
            PlaceSettings(member.address, member.region, member.failure_domain)
            for member in self.live_members()
            if member.state is not MemberState.LEAVING
        )

    def on_message(self, envelope: Envelope) -> None:
        """Handle a membership message; other messages are ignored."""
        match envelope.message:
            case Probe() | ProbeReply() if self._is_current(envelope):
                self._apply_message(envelope, envelope.message)
            case ProbeRequest(sequence=sequence, target=target):
                self._probe_for(envelope.sender, sequence, target)

    def apply_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Use the entries of the host list as seeds, and mark leaving ones."""
        self._listed = frozenset(
            host.address
            for host in hosts
            if host.role == ENTRY_ROLE and not host.leaving
        )
        for host in hosts:
            if host.role == ENTRY_ROLE:
                self._apply_host(host)

    def leave(self) -> None:
        """Announce that this process is leaving.

        Entries of the region are notified at once, others by gossip.
        """
        self._propagate(self.table.leave())
        for address in self.region_entries():
            self._sender.send_probe(address, self._prober.untracked_sequence())

    async def run(self) -> None:
        """Probe and expire members, and poll the host list, until cancelled."""
        async with asyncio.TaskGroup() as group:
            if self.host_watch is not None:
                group.create_task(self.host_watch.run())
            group.create_task(self._run_ticks())

    def tick(self) -> None:
        """Send the probes and apply the timeouts that are due."""
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._due.ticked_ms
        self._due.ticked_ms = now_ms
        if gap_ms >= PAUSE_DETECTION_MS:
            self._recover_from_pause(gap_ms)
        self._probe_indirectly(now_ms)
        self._suspect_failed(now_ms)
        for member in self.table.expire(now_ms):
            self.counters.removals += 1
            self._propagate(member)
        if now_ms >= self._due.probe_ms:
            self._due.probe_ms = now_ms + PROBE_INTERVAL_MS
            self._probe_next(now_ms)
        if now_ms >= self._due.seed_ms:
            self._probe_seed(now_ms)

    async def _run_ticks(self) -> None:
        await self._clock.sleep_ms(self._rng.random() * PROBE_INTERVAL_MS)
        self._due.ticked_ms = self._clock.now_ms()
        while True:
            self.tick()
            await self._clock.sleep_ms(MEMBERSHIP_TICK_MS)

    def _is_current(self, envelope: Envelope) -> bool:
        if envelope.sender == self.table.own.address:
            return False
        member = self.table.get(envelope.sender)
        if member is None:
            return True
        return envelope.incarnation >= process_incarnation(member.incarnation)

    def _apply_message(
        self, envelope: Envelope, message: Probe | ProbeReply
    ) -> None:
        now_ms = self._clock.now_ms()
        self.table.record_heard(envelope.sender, now_ms)
        for member in message.members:
            merged = self.table.merge(member, now_ms)
            if merged is not None:
                self._propagate(merged)
        for listener in self._version_listeners:
            listener(envelope.sender, message.config_version)
        match message:
            case Probe(sequence=sequence):
                self._sender.send_reply(envelope.sender, sequence)
            case ProbeReply(sequence=sequence):
                self._end_probe(sequence, now_ms)

    def _end_probe(self, sequence: int, now_ms: float) -> None:
        target = self._prober.end_probe(sequence)
        if target is not None:
            self.table.record_heard(target, now_ms)
        relayed = self._prober.end_relay(sequence)
        if relayed is not None:
            self._sender.send_reply(*relayed)

    def _probe_for(self, requester: str, sequence: int, target: str) -> None:
        relay_sequence = self._prober.start_relay(
            requester, sequence, target, self._clock.now_ms()
        )
        self._sender.send_probe(target, relay_sequence)

    def _apply_host(self, host: HostEntry) -> None:
        self._seeds[host.address] = None
        state = MemberState.LEAVING if host.leaving else MemberState.ALIVE
        member = self.table.get(host.address)
        listed_member = Member(
            address=host.address,
            incarnation=member.incarnation if member else 0,
            state=state,
            role=host.role,
            region=host.region,
            failure_domain=host.failure_domain,
        )
        now_ms = self._clock.now_ms()
        if self.table.add_listed(listed_member, now_ms):
            self._notify(listed_member)
        elif host.leaving:
            merged = self.table.merge(listed_member, now_ms)
            if merged is not None:
                self._propagate(merged)

    def _probe_next(self, now_ms: float) -> None:
        own = self.table.own.address
        others = [address for address in self.live_entries() if address != own]
        target = self._prober.next_target(others)
        if target is not None:
            sequence = self._prober.start(target, now_ms)
            self._sender.send_probe(target, sequence)

    def _probe_seed(self, now_ms: float) -> None:
        own = self.table.own.address
        live = frozenset(self.live_entries())
        is_alone = len(live) == 1
        interval_ms = JOIN_INTERVAL_MS if is_alone else SEED_INTERVAL_MS
        self._due.seed_ms = now_ms + interval_ms
        seeds = [
            seed for seed in self._seeds if seed not in live and seed != own
        ]
        if seeds:
            seed = self._rng.choice(seeds)
            self._sender.send_probe(seed, self._prober.untracked_sequence())

    def _probe_indirectly(self, now_ms: float) -> None:
        due = self._prober.take_indirect_due(now_ms)
        if not due:
            return
        responsive = [
            address
            for address in self.responsive_entries()
            if address != self.table.own.address
        ]
        for sequence, target in due:
            helpers = [address for address in responsive if address != target]
            count = min(INDIRECT_PROBES, len(helpers))
            for helper in self._rng.sample(helpers, count):
                self._sender.send_request(helper, sequence, target)
            self._sender.send_probe(target, sequence)

    def _suspect_failed(self, now_ms: float) -> None:
        for target in self._prober.take_timed_out(now_ms):
            suspected = self.table.suspect(target, now_ms)
            if suspected is not None:
                self.counters.suspicions += 1
                self._propagate(suspected)

    def _recover_from_pause(self, gap_ms: float) -> None:
        self.counters.pauses += 1
        self._prober.clear()
        self.table.extend_timers(gap_ms)

    def _propagate(self, member: Member) -> None:
        self._sender.push(member)
        self._notify(member)

    def _notify(self, member: Member) -> None:
        self._live = None
        for listener in self._listeners:
            listener(member)


def _own_member(place: PlaceSettings, incarnation: int) -> Member:
    return Member(
        address=place.address,
        incarnation=member_incarnation(incarnation),
        state=MemberState.ALIVE,
        role=ENTRY_ROLE,
        region=place.region,
        failure_domain=place.failure_domain,
    )
