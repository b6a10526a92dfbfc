"""Distribution of published versions to processes that admit requests."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Receiver, Transport
from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.store.platform import ObjectStore, Table
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
)
from bergamotthread.version.archive import Archive
from bergamotthread.version.lease import VersionLease
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.published import PublishedVersion
from bergamotthread.version.record import (
    VERSION_KEY,
    Bundle,
    Publication,
    VersionRow,
    VersionState,
    decode_record,
)
from bergamotthread.version.registration import Registration
from bergamotthread.version.relay import VersionRelay, apply_bundle
from bergamotthread.version.sources import (
    MAX_FANOUT,
    PendingRequests,
    SourceChoice,
    is_reader,
)
from bergamotthread.wire.messages import (
    Acks,
    ConfigNotice,
    ConfigRequest,
    Envelope,
    Message,
    OutputBatch,
    Probe,
    ProbeReply,
)

POLL_INTERVAL_MS = 500
NO_TABLE_POLL_INTERVAL_MS = 5000
MAX_FRESH_PROOF_AGE_MS = 1500
READ_BACKOFF_MS = 1000
REGISTER_INTERVAL_MS = 1000
REPORTED_VERSION_REQUEST_INTERVAL_MS = 50
NO_VERSION_RETRY_AFTER_MS = 1000
INITIAL_FANOUT = 2
LOG_INTERVAL_S = 60


class VersionHolder:
    """Holds the newest published version known to this process.

    A few processes of each group, the readers, read the table; the others ask
    them. A reply carries the age of the sender's proof, so that the lease of
    the process that asked runs from the time of its request minus that age.

    Parameters
    ----------
    table, object_store
        None if the process has no access to the platform, such as an agent.
        Once it has a version, it asks its peers less often and relies on their
        notifications, so its lease expires: it follows the version but admits
        no requests by it.
    peers
        Returns the addresses to ask: those in the same region if there are
        any.
    place
        Where the process runs; None if it is not to be registered.
    """

    def __init__(
        self,
        table: Table | None,
        object_store: ObjectStore | None,
        transport: Transport,
        clock: Clock,
        peers: Callable[[], Sequence[str]],
        *,
        place: PlaceSettings | None = None,
    ) -> None:
        self.current: PublishedVersion | None = None
        self.lease = VersionLease()
        self._table = table
        self._archive = Archive(object_store) if object_store else None
        self._transport = transport
        self._clock = clock
        self._peers = peers
        self._registration: Registration | None = None
        if table is not None and place is not None:
            incarnation = transport.incarnation
            self._registration = Registration(table, place, incarnation)
        self._state = VersionState()
        self._relay = VersionRelay(transport, clock)
        self._sources = SourceChoice(transport.address)
        self._requests = PendingRequests(transport.incarnation)
        self._proof = asyncio.Event()
        self._last_failure = 'nothing was heard yet'
        self._next_registration_ms = -math.inf
        self._next_version_request_ms = -math.inf
        self._is_closed = False

    @classmethod
    def from_object_set(
        cls,
        object_set: ObjectSet,
        version: int = 1,
    ) -> VersionHolder:
        """Return a holder with one fixed set, for tests and demonstrations."""
        holder = cls(None, None, _NoTransport(), Clock.from_system(), tuple)
        holder._adopt(VersionState(version, object_set=object_set), ())
        holder.lease.record_proof(math.inf)
        return holder

    @property
    def version(self) -> int:
        """Return the number of the version in force, 0 if there is none."""
        return self._state.version

    def admission_refusal(self) -> Refusal | None:
        """Return the refusal for new requests, or None if they are admitted."""
        now_ms = self._clock.now_ms()
        if self.current is None or self._is_closed:
            return self._refuse('no configuration is in force', {})
        if self.lease.remaining_ms(now_ms) > 0:
            return None
        figures = {
            'proof_age_ms': now_ms - self.lease.proven_ms,
            'lease_ms': self.lease.length_ms(),
        }
        if math.isinf(self.lease.proven_ms):
            figures.pop('proof_age_ms')
        return self._refuse('the lease on the configuration lapsed', figures)

    def admit(self) -> PublishedVersion:
        """Return the version by which to decide on a request now.

        The decision must follow without an `await` in between. After an
        `await`, such as reading the body, call `admit` again: the lease may
        have expired in the meantime.

        Raises
        ------
        RefusedError
            If no request may be admitted now.
        """
        refusal = self.admission_refusal()
        if refusal is not None:
            raise RefusedError(refusal)
        if self.current is None:
            raise RefusedError(self._refuse('no configuration is in force', {}))
        return self.current

    def on_message(self, envelope: Envelope) -> None:
        """Handle a message from a peer; ignore messages of other kinds."""
        peer = envelope.sender
        match envelope.message:
            case ConfigRequest(version=version, nonce=nonce):
                self._send_notice(peer, version, nonce)
            case ConfigNotice() as notice:
                self._on_notice(peer, notice)
            case (
                Probe(config_version=version)
                | ProbeReply(config_version=version)
                | Acks(config_version=version)
                | OutputBatch(config_version=version)
            ):
                self.on_version_reported(peer, version)

    def on_version_reported(self, peer: str, version: int) -> None:
        """Ask a peer for its version if that is newer than the one held.

        At most one such request is sent in each
        `REPORTED_VERSION_REQUEST_INTERVAL_MS`.
        """
        now_ms = self._clock.now_ms()
        if version > self.version and now_ms >= self._next_version_request_ms:
            self._next_version_request_ms = (
                now_ms + REPORTED_VERSION_REQUEST_INTERVAL_MS
            )
            self._send_request(peer)

    async def run(self) -> None:
        """Keep the version and the lease up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_peers())
            if self._table is not None:
                tasks.create_task(self._poll_table(self._table))

    async def wait_serving(self) -> None:
        """Return once requests may be admitted."""
        while self.admission_refusal() is not None:
            self._proof.clear()
            await self._proof.wait()

    async def close(self) -> None:
        """Stop admitting requests permanently and remove the registration."""
        self._is_closed = True
        if self._registration is not None:
            await self._registration.remove()

    def _refuse(self, problem: str, figures: dict[str, float]) -> Refusal:
        return Refusal(
            reason=ReasonCode.NO_CONFIGURATION,
            detail=f'{problem}: {self._last_failure}',
            step=Step.ADMIT,
            ran=Ran.NOT_RUN,
            config_version=self.version,
            retry_after_ms=NO_VERSION_RETRY_AFTER_MS,
            figures=figures,
        )

    async def _poll_peers(self) -> None:
        while True:
            if self._is_request_due():
                fanout = MAX_FANOUT if self.version else INITIAL_FANOUT
                for peer in self._sources.choose(
                    self._peers(),
                    max_fanout=fanout,
                ):
                    self._send_request(peer)
            await self._clock.sleep_ms(self._peer_poll_interval_ms())

    def _peer_poll_interval_ms(self) -> float:
        if self._table is None and self.version:
            return NO_TABLE_POLL_INTERVAL_MS
        return POLL_INTERVAL_MS

    async def _poll_table(self, table: Table) -> None:
        while True:
            pause_ms: float = POLL_INTERVAL_MS
            if self._is_read_due():
                try:
                    await self._read_newest(table)
                except BergamotError as error:
                    self._last_failure = str(error)
                    pause_ms = READ_BACKOFF_MS
            await self._register()
            await self._clock.sleep_ms(pause_ms)

    def _is_request_due(self) -> bool:
        is_fresh = self._proof_age_ms() < MAX_FRESH_PROOF_AGE_MS
        return not (is_fresh and self._is_reader())

    def _is_read_due(self) -> bool:
        is_fresh = self._proof_age_ms() < MAX_FRESH_PROOF_AGE_MS
        return self._is_reader() or not is_fresh

    def _is_reader(self) -> bool:
        if self._table is None:
            return False
        return is_reader(self._transport.address, self._peers())

    async def _read_newest(self, table: Table) -> None:
        held_version = self.version
        asked_ms = self._clock.now_ms()
        row = await table.read(VERSION_KEY)
        if row is None:
            self._last_failure = 'nothing is published'
            return
        newest = decode_record(row.body, VersionRow)
        if newest.version < held_version:
            raise BergamotError(
                f'the table holds version {newest.version}, older than '
                f'{held_version}, which is in force',
                step=Step.STORE,
            )
        if newest.version > self.version:
            await self._fetch(newest)
        self._record_proof(asked_ms)

    async def _fetch(self, newest: VersionRow) -> None:
        if self._archive is None:
            raise BergamotError('no object store', step=Step.STORE)
        held = self._state
        state = await self._archive.newest(newest, held)
        inline = tuple(
            publication
            for publication in newest.recent
            if publication.version > held.version
        )
        self._adopt(state, inline)

    async def _register(self) -> None:
        registration = self._registration
        if registration is None or self.current is None or self._is_closed:
            return
        outage_lease_ms = self.current.object_set.outage_lease_ms
        recorded = registration.recorded
        if recorded is not None and recorded.version == self.version:
            return
        if not (outage_lease_ms or self._is_reader()):
            return
        if self._clock.now_ms() < self._next_registration_ms:
            return
        self._next_registration_ms = self._clock.now_ms() + REGISTER_INTERVAL_MS
        version = self.version
        try:
            await registration.record(version, outage_lease_ms)
        except BergamotError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                'registration of the version in force failed: %s',
                LOG_INTERVAL_S,
                error,
            )
            return
        if version == self.version:
            self.lease.register(self._clock.now_ms(), outage_lease_ms)

    def _send_request(self, peer: str) -> None:
        nonce = self._requests.add(self._clock.now_ms())
        self._transport.send(peer, ConfigRequest(self.version, nonce))

    def _send_notice(self, peer: str, version: int, nonce: int) -> None:
        now_ms = self._clock.now_ms()
        self._relay.add_watcher(peer)
        if version > self.version:
            self._send_request(peer)
        proof_age_ms = -1.0
        if self.version and self.lease.remaining_ms(now_ms) > 0:
            proof_age_ms = max(now_ms - self.lease.proven_ms, 0)
        self._transport.send(
            peer,
            ConfigNotice(
                self.version,
                self._relay.bundle_since(version),
                nonce,
                proof_age_ms,
            ),
        )

    def _on_notice(self, peer: str, notice: ConfigNotice) -> None:
        if notice.document and notice.version > self.version:
            self._apply_bundle(peer, notice.document)
        sent_ms = self._requests.sent_ms(notice.nonce)
        if notice.version > self.version:
            if sent_ms is None:
                self._send_request(peer)
            return
        if sent_ms is not None and notice.proof_age_ms >= 0 and notice.version:
            self._record_proof(sent_ms - notice.proof_age_ms)
            if self._proof_age_ms() < MAX_FRESH_PROOF_AGE_MS:
                self._sources.record_answer()

    def _apply_bundle(self, peer: str, document: bytes) -> None:
        try:
            bundle = decode_record(document, Bundle)
            state, publications = apply_bundle(self._state, bundle)
        except BergamotError as error:
            logging.warning('bundle from %s discarded: %s', peer, error)
            return
        self._adopt(state, publications)

    def _adopt(
        self,
        state: VersionState,
        publications: tuple[Publication, ...],
    ) -> None:
        """Put a newer version in force and send it to peers that asked for it.

        A version that is not newer is ignored.
        """
        old_version = self.version
        if state.version <= old_version:
            return
        self.current = PublishedVersion.from_object_set(
            state.version,
            state.object_set,
        )
        self._state = state
        self.lease.clear_registration()
        logging.info(
            'version %d in force, previously %d', state.version, old_version
        )
        self._relay.set_version(state, publications)

    def _record_proof(self, proof_ms: float) -> None:
        self.lease.record_proof(proof_ms)
        self._proof.set()

    def _proof_age_ms(self) -> float:
        return self._clock.now_ms() - self.lease.proven_ms


class _NoTransport(Transport):
    """Transport for a holder without peers."""

    address = ''
    incarnation = 0

    def send(self, peer: str, message: Message) -> None:
        """Discard the message."""

    def start(self, receiver: Receiver) -> None:
        """Do nothing, since no messages arrive."""

    def close(self) -> None:
        """Do nothing, since nothing is open."""
