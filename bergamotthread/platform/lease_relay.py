"""Messages about leased shares between entries of the platform.

The answer to a request for leases comes back in the answer to its HTTP call.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import Reachability
from bergamotthread.connection.transport import Receiver, Transport
from bergamotthread.errors import DecodeError
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.process.background_tasks import BackgroundTasks
from bergamotthread.process.relay.feed_sources import EntryRecord, FeedSources
from bergamotthread.process.shares.lease_exchange import EntryView
from bergamotthread.wire.codec import decode_envelope, encode_envelope
from bergamotthread.wire.messages import Envelope, Message, ShareRequests

LEASE_PATH = b'/api/leases'
# Interval between checks of other entries, and entries in one check.
CHECK_INTERVAL_MS = 1000
CHECKED_MAX = 4
# An entry heard within this time is not checked.
HEARD_MAX_MS = 2000


@dataclass
class PeerView(EntryView):
    """The registered entries that answer, as far as this one knows.

    Parameters
    ----------
    own_address
        Address at which this entry serves other entries.
    """

    feeds: FeedSources
    own_address: str
    _silent: set[str] = field(default_factory=set)
    _ended: set[str] = field(default_factory=set)
    _heard_ms_by_address: dict[str, float] = field(default_factory=dict)

    def responsive_entries(self) -> tuple[str, ...]:
        """Return the responsive entries, including the own one."""
        responsive = self._others() - self._silent - self._ended
        responsive.add(self.own_address)
        return tuple(sorted(responsive))

    def reachable_fraction(self) -> float:
        """Return the fraction of all entries that respond.

        Entries whose address refuses connections have ended and don't count.
        """
        others = self._others() - self._ended
        silent_count = len(others & self._silent)
        return 1 - silent_count / (1 + len(others))

    def present_hosts(self) -> frozenset[str]:
        """Return the hosts of the entries that have not ended, and the own."""
        others = self.feeds.others()
        present = {
            entry.host for entry in others if entry.address not in self._ended
        }
        return frozenset((self.feeds.own_host, *present))

    def record_heard(self, address: str, now_ms: float) -> None:
        """Record that an entry sent something."""
        self._silent.discard(address)
        self._ended.discard(address)
        self._heard_ms_by_address[address] = now_ms

    def record_lost(self, address: str, *, has_ended: bool) -> None:
        """Record that an entry did not answer, or refuses connections."""
        self._heard_ms_by_address.pop(address, None)
        self._silent.discard(address)
        self._ended.discard(address)
        (self._ended if has_ended else self._silent).add(address)

    def unheard(self, now_ms: float) -> list[str]:
        """Return the other entries that were not heard lately."""
        heard_ms = self._heard_ms_by_address
        since_ms = now_ms - HEARD_MAX_MS
        return [
            address
            for address in self._others()
            if heard_ms.get(address, -HEARD_MAX_MS) < since_ms
        ]

    def _others(self) -> set[str]:
        return {entry.address for entry in self.feeds.others()}


@dataclass
class LeaseRelay(Transport):
    """Sends messages about leases, and answers those of other entries.

    Parameters
    ----------
    incarnation
        Grows with each start of this process.
    """

    clock: Clock
    peers: PeerMessages
    view: PeerView
    rng: random.Random
    incarnation: int
    address: str = field(init=False)
    _receiver: Receiver | None = None
    _home_of: Callable[[str], str] | None = None
    _asking: str = ''
    _reply: bytes = b''
    _tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    _checked: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.address = self.view.own_address

    def send(self, peer: str, message: Message) -> None:
        """Send a message, in the answer to the call under way if it is due."""
        envelope = Envelope(self.address, self.incarnation, message)
        encoded = encode_envelope(envelope)
        if peer == self._asking:
            self._reply = encoded
            return
        self._tasks.start(self._post(peer, encoded))

    def start(self, receiver: Receiver) -> None:
        """Start passing received envelopes to `receiver`."""
        self._receiver = receiver

    def close(self) -> None:
        """Stop all calls."""
        self._tasks.cancel()

    def use_homes(self, home_of: Callable[[str], str]) -> None:
        """Set how the home of a limit is found.

        An entry that is asked for leases checks the home that it expects.

        Parameters
        ----------
        home_of
            Returns the home of a limit in the current view.
        """
        self._home_of = home_of

    def answer(self, method: bytes, body: bytes) -> bytes | None:
        """Answer another entry; None if its message is invalid.

        A GET shows that this entry answers.
        """
        if method == b'GET':
            return b''
        envelope = _decode(body)
        if envelope is None:
            return None
        self._asking = envelope.sender
        self._reply = b''
        self._receive(envelope)
        self._asking = ''
        return self._reply

    async def run(self, is_active: Callable[[], bool]) -> None:
        """Check other entries while leases are in use, until cancelled."""
        while True:
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
            if is_active():
                for address in self._due_checks():
                    self._check_soon(address)

    def _due_checks(self) -> list[str]:
        unheard = self.view.unheard(self.clock.now_ms())
        self.rng.shuffle(unheard)
        return list(islice(unheard, CHECKED_MAX))

    def _receive(self, envelope: Envelope) -> None:
        self.view.record_heard(envelope.sender, self.clock.now_ms())
        if isinstance(envelope.message, ShareRequests):
            self._check_expected_homes(envelope.message)
        if self._receiver is not None:
            self._receiver(envelope)

    def _check_expected_homes(self, requests: ShareRequests) -> None:
        """Check the entry that should have been asked in place of this one."""
        if self._home_of is None:
            return
        homes = {self._home_of(demand.name) for demand in requests.demands}
        for home in sorted(homes - {self.address}):
            self._check_soon(home)

    def _check_soon(self, address: str) -> None:
        if address not in self._checked:
            self._checked.add(address)
            self._tasks.start(self._check(address))

    async def _check(self, address: str) -> None:
        try:
            answer = await self.peers.ask(_record(address), LEASE_PATH)
            if answer is None:
                await self._record_lost(address)
            else:
                self.view.record_heard(address, self.clock.now_ms())
        finally:
            self._checked.discard(address)

    async def _post(self, peer: str, encoded: bytes) -> None:
        answer = await self.peers.send(_record(peer), LEASE_PATH, encoded)
        if answer is None:
            await self._record_lost(peer)
            return
        self.view.record_heard(peer, self.clock.now_ms())
        envelope = _decode(answer) if answer else None
        if envelope is not None:
            self._receive(envelope)

    async def _record_lost(self, address: str) -> None:
        reachability = await self.peers.pool.reach(address)
        if reachability is Reachability.LISTENING:
            return
        has_ended = reachability is Reachability.REFUSED
        self.view.record_lost(address, has_ended=has_ended)


def _record(address: str) -> EntryRecord:
    return EntryRecord(address, address, '')


def _decode(encoded: bytes) -> Envelope | None:
    try:
        return decode_envelope(encoded)
    except DecodeError as error:
        logging.debug('message on leases is invalid: %s', error)
        return None
