"""Choice of the source of table changes: the store or another entry.

In each region, the first entry by name reads the store and the others read
from that entry, which keeps the load on the store low. Every response states
the age of its data and whether it came from the store directly. Only direct
responses are accepted: two entries that read from each other would never
learn of a change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

# Time for which an entry is not asked after it failed to respond or sent data
# that was too old.
ENTRY_BACKOFF_MS = 8000
# Time after a failed call to the store for which other entries are preferred.
STORE_BACKOFF_MS = 1000


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """One entry as it registered itself.

    Parameters
    ----------
    address
        Address at which it serves other entries.
    """

    host: str
    address: str
    region: str


@dataclass
class FeedSources:
    """Chooses the source of the next read of a table.

    Parameters
    ----------
    own_host, own_region
        Name and region of this entry.
    """

    clock: Clock
    own_host: str
    own_region: str
    _entry_by_host: dict[str, EntryRecord] = field(default_factory=dict)
    _failed_ms_by_host: dict[str, float] = field(default_factory=dict)
    _store_failed_ms_by_table: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entry_by_host)

    def own_record(self, address: str) -> EntryRecord:
        """Return this entry, serving others at an address."""
        return EntryRecord(self.own_host, address, self.own_region)

    def update(self, record: EntryRecord) -> None:
        """Add or replace an entry."""
        self._entry_by_host[record.host] = record
        self._failed_ms_by_host.pop(record.host, None)

    def remove(self, host: str) -> None:
        """Remove an entry."""
        self._entry_by_host.pop(host, None)

    def others(self) -> list[EntryRecord]:
        """Return the other entries of all regions."""
        return [
            entry
            for entry in self._entry_by_host.values()
            if entry.host != self.own_host
        ]

    def local_entries(self) -> list[EntryRecord]:
        """Return the other entries of the region."""
        return [
            entry for entry in self.others() if entry.region == self.own_region
        ]

    def entries_by_other_region(self) -> dict[str, list[EntryRecord]]:
        """Return the entries of the other regions, by region."""
        by_region: dict[str, list[EntryRecord]] = {}
        for entry in self._entry_by_host.values():
            if entry.region != self.own_region:
                by_region.setdefault(entry.region, []).append(entry)
        return by_region

    def choose(self, table: str) -> EntryRecord | None:
        """Return the entry to read from, or None for the store."""
        ranked = sorted(self._usable(), key=_host)
        if self._is_store_failing(table):
            return next(iter(ranked), None)
        earlier = [entry for entry in ranked if entry.host < self.own_host]
        return next(iter(earlier), None)

    def record_failure(self, table: str, source: EntryRecord | None) -> None:
        """Record that a source did not respond or sent unusable data."""
        now_ms = self.clock.now_ms()
        if source is None:
            self._store_failed_ms_by_table[table] = now_ms
        else:
            self._failed_ms_by_host[source.host] = now_ms

    def record_success(self, table: str, source: EntryRecord | None) -> None:
        """End the store's backoff after it responded.

        A response of another entry does not end that entry's backoff.
        """
        if source is None:
            self._store_failed_ms_by_table.pop(table, None)

    def forget_failures(self) -> None:
        """End all backoffs, since an outage of the store has ended.

        During it, all entries sent data that was too old.
        """
        self._failed_ms_by_host.clear()
        self._store_failed_ms_by_table.clear()

    def _is_store_failing(self, table: str) -> bool:
        failed_ms = self._store_failed_ms_by_table.get(table)
        if failed_ms is None:
            return False
        return self.clock.now_ms() - failed_ms < STORE_BACKOFF_MS

    def _usable(self) -> Iterable[EntryRecord]:
        now_ms = self.clock.now_ms()
        for entry in self._entry_by_host.values():
            is_local = entry.region == self.own_region
            failed_ms = self._failed_ms_by_host.get(
                entry.host, -ENTRY_BACKOFF_MS
            )
            is_healthy = now_ms - failed_ms >= ENTRY_BACKOFF_MS
            if is_local and is_healthy and entry.host != self.own_host:
                yield entry


def _host(entry: EntryRecord) -> str:
    return entry.host
