"""Bytes and CPU time of published versions at the full design size.

Run ``python -m benchmarks.version_size``.
"""

from __future__ import annotations

import hashlib
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

import msgspec

from bergamotthread.version.checks import check_object_set
from bergamotthread.version.diff import diff_sets
from bergamotthread.version.objects import (
    FailureDomain,
    Model,
    ObjectSet,
    Region,
    Route,
    Service,
    ServiceKind,
    Team,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.version.record import (
    Publication,
    Snapshot,
    VersionState,
    encode_record,
)
from bergamotthread.wire.messages import Pin

REGIONS = 10
FAILURE_DOMAINS = 37
MODELS = 5
UPSTREAMS = 12_000
TEAMS = 10_000
CHANGES_PER_DAY = 10_000
S_PER_DAY = 86_400
MS_PER_S = 1000

_Answer = TypeVar('_Answer')


def make_set(upstreams: int = UPSTREAMS, teams: int = TEAMS) -> ObjectSet:
    """Return a valid object set with that many upstreams and teams."""
    pins = tuple(Pin(f'model-{number}', '2026-09') for number in range(MODELS))
    return ObjectSet(
        regions=tuple(Region(f'region-{number}') for number in range(REGIONS)),
        failure_domains=tuple(
            FailureDomain(f'domain-{number}', f'region-{number % REGIONS}')
            for number in range(FAILURE_DOMAINS)
        ),
        teams=tuple(_make_team(number) for number in range(teams)),
        models=tuple(Model(pin.model, (pin.version,)) for pin in pins),
        services=(Service('reports', ServiceKind.MODEL),),
        routes=tuple(
            Route(pin.model, 'reports', pin.model, pin.version) for pin in pins
        ),
        upstreams=tuple(
            Upstream(
                f'runner-{number}',
                f'10.{number // 62500}.{number // 250 % 250}'
                f'.{number % 250 + 1}:7100',
                f'domain-{number % FAILURE_DOMAINS}',
                (pins[number % MODELS],),
            )
            for number in range(upstreams)
        ),
    )


def make_publication(state: VersionState, changed: ObjectSet) -> Publication:
    """Return the publication that changes `state` to the set `changed`."""
    changes = diff_sets(state.object_set, changed)
    publication = Publication(
        state.version + 1, 'b' * 24, 'a' * 24, 'ana', 0, changes
    )
    # Readers compute the digest from the decoded record, in which JSON may
    # have changed the type of numbers.
    publication = msgspec.json.decode(
        encode_record(publication), type=Publication
    )
    digest = publication.digest_after(state.digest)
    return msgspec.structs.replace(publication, digest=digest)


def change_one_team(object_set: ObjectSet) -> ObjectSet:
    """Return the object set with the weight of one team changed."""
    teams = list(object_set.teams)
    teams[7] = msgspec.structs.replace(teams[7], weight=3)
    return msgspec.structs.replace(object_set, teams=tuple(teams))


def processor_ms(
    action: Callable[[], _Answer],
    repeats: int = 3,
) -> tuple[float, _Answer]:
    """Return the least CPU time of `repeats` runs, and the last result."""
    least_ms = float('inf')
    for _ in range(repeats):
        started_s = time.process_time()
        result = action()
        elapsed_ms = (time.process_time() - started_s) * MS_PER_S
        least_ms = min(least_ms, elapsed_ms)
    return least_ms, result


def main() -> None:
    """Print bytes and CPU times."""
    object_set = make_set()
    state = VersionState(1, 'a' * 24, 'd' * 64, object_set)
    publication = make_publication(state, change_one_team(object_set))
    snapshot = Snapshot(1, 'a' * 24, 'd' * 64, object_set)
    check_ms, _ = processor_ms(lambda: check_object_set(object_set))
    encode_ms, encoded = processor_ms(lambda: encode_record(snapshot))
    decode_ms, _ = processor_ms(
        lambda: msgspec.json.decode(encoded, type=Snapshot)
    )
    follow_ms, after = processor_ms(lambda: state.apply(publication))
    index_ms, _ = processor_ms(
        lambda: PublishedVersion.from_object_set(2, after.object_set)
    )
    core_fraction = (
        CHANGES_PER_DAY * (follow_ms + index_ms) / MS_PER_S / S_PER_DAY
    )
    print(f'set: {UPSTREAMS} upstreams, {TEAMS} teams')
    print(
        f'snapshot: {len(encoded)} bytes, one change: '
        f'{len(encode_record(publication))} bytes'
    )
    print(
        f'check {check_ms:.1f} ms, encode {encode_ms:.1f} ms, '
        f'decode {decode_ms:.1f} ms'
    )
    print(
        f'follow one change {follow_ms:.2f} ms, index {index_ms:.2f} ms, '
        f'{core_fraction:.4%} of a core at {CHANGES_PER_DAY} changes a day'
    )
    print(f'memory of one version: {_held_bytes(encoded) / 2**20:.1f} MiB')


def _make_team(number: int) -> Team:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return Team(f'team-{number}', (digest,))


def _held_bytes(encoded: bytes) -> int:
    tracemalloc.start()
    snapshot = msgspec.json.decode(encoded, type=Snapshot)
    version = PublishedVersion.from_object_set(1, snapshot.object_set)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held if version.version else 0


if __name__ == '__main__':
    main()
