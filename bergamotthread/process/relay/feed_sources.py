"""From whom an entry hears of changes: the store, or an entry that reads it.

One entry of each region, the first by name, asks the store; the others follow
it and so take no calls. Every answer tells how old its proof is and whether it
came from the store itself. Only such answers are followed, since two entries
that follow each other would both know nothing new.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

# An entry that did not answer, or with an old proof, is not asked for this
# long.
FAILED_MS = 8000
# After a failed call to the store others are asked for this long.
STORE_FAILED_MS = 1000


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """One entry as it registered itself.

    Parameters
    ----------
    address
        Where it answers other entries.
    """

    host: str
    address: str
    region: str


@dataclass
class FeedSources:
    """Chooses the source of the next read.

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

    def update(self, record: EntryRecord) -> None:
        """Take in the registration of an entry."""
        self._entry_by_host[record.host] = record
        self._failed_ms_by_host.pop(record.host, None)

    def remove(self, host: str) -> None:
        """Forget an entry."""
        self._entry_by_host.pop(host, None)

    def choose(self, table: str) -> EntryRecord | None:
        """Return the entry to follow, or none for the store itself."""
        ranked = sorted(self._usable(), key=_host)
        if self._is_store_failing(table):
            return next(iter(ranked), None)
        earlier = [one for one in ranked if one.host < self.own_host]
        return next(iter(earlier), None)

    def record_failure(self, table: str, source: EntryRecord | None) -> None:
        """Note that a source did not answer, or can't be followed."""
        now_ms = self.clock.now_ms()
        if source is None:
            self._store_failed_ms_by_table[table] = now_ms
        else:
            self._failed_ms_by_host[source.host] = now_ms

    def record_success(self, table: str, source: EntryRecord | None) -> None:
        """Note that a source answered."""
        if source is None:
            self._store_failed_ms_by_table.pop(table, None)

    def _is_store_failing(self, table: str) -> bool:
        failed_ms = self._store_failed_ms_by_table.get(table)
        if failed_ms is None:
            return False
        return self.clock.now_ms() - failed_ms < STORE_FAILED_MS

    def _usable(self) -> Iterable[EntryRecord]:
        now_ms = self.clock.now_ms()
        for entry in self._entry_by_host.values():
            is_near = entry.region == self.own_region
            failed_ms = self._failed_ms_by_host.get(entry.host, -FAILED_MS)
            is_sound = now_ms - failed_ms >= FAILED_MS
            if is_near and is_sound and entry.host != self.own_host:
                yield entry


def _host(entry: EntryRecord) -> str:
    return entry.host
