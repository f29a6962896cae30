"""Reads and writes a partition's log: its row, segments and snapshots."""

import functools

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import ledger
from samphirepost import ledgerstate
from samphirepost import records
from samphirepost_daemon import metrics
from samphirepost_daemon import platformapi

PARTITION_PREFIX = "control/partition/"


class LoadedPartition(msgspec.Struct, frozen=True):
    """A partition's row, its revision and the state replayed from it."""

    row: records.PartitionRow
    revision: int
    state: ledgerstate.State


def row_key(partition):
    """Returns the key of the partition's row."""
    return f"{PARTITION_PREFIX}{partition:03x}"


def partition_from_key(key):
    """Returns the partition number in a row's key."""
    return int(key.rsplit("/", 1)[1], 16)


def load_partition(services, partition, cfg, now):
    """Reads a partition from the platform; returns it, or a Failure."""
    found = services.table.read(row_key(partition))
    if isinstance(found, errors.Failure):
        return found
    state = ledgerstate.State(cfg.claim_ms / 1000, cfg.attempts_max)
    if found is None:
        return LoadedPartition(
            records.PartitionRow(), platformapi.ABSENT, state
        )
    row = codec.unpack(found.value, records.PartitionRow)
    failure = _replay(services.objects, row, state, now)
    if failure is not None:
        return failure
    return LoadedPartition(row, found.revision, state)


def _replay(objects, row, state, now):
    if row.snapshot:
        data = objects.get(row.snapshot)
        if isinstance(data, errors.Failure):
            return data
        ledgerstate.load(state, codec.unpack(data, ledgerstate.Snapshot), now)
    for name in row.segments:
        data = objects.get(name)
        if isinstance(data, errors.Failure):
            return data
        segment = codec.unpack(data, records.Segment)
        for position, record in enumerate(segment.records):
            reference = records.Reference(name, position)
            ledger.apply(record, state, reference, now)
    return None


def write_row(table, partition, row, revision):
    """Writes the row if it is still at the revision.

    Returns Written, Conflict or a Failure; `metrics.COMMITS` counts them by
    class name.
    """
    key = row_key(partition)
    transaction = platformapi.Transaction(
        row.write, {key: revision}, {key: codec.pack(row)}
    )
    outcome = platformapi.write_with_readback(table, transaction)
    metrics.COMMITS.labels(type(outcome).__name__.lower()).inc()
    return outcome


def has_taken_effect(table, partition, commit):
    """Whether a GroupCommit that met a conflict took effect before.

    It did if the row still names its segment. Returns None if that cannot be
    told: the row cannot be read, or a snapshot has replaced the segments.
    """
    found = table.read(row_key(partition))
    if isinstance(found, errors.Failure):
        return None
    if found is None:
        return False
    row = codec.unpack(found.value, records.PartitionRow)
    if commit.segment_name in row.segments:
        return True
    if row.sequence < commit.row.sequence:
        return False
    return False if row.snapshot == commit.row.snapshot else None


@functools.lru_cache(maxsize=64)
def _read_segment_cached(objects, name):
    data = objects.get(name)
    if isinstance(data, errors.Failure):
        raise errors.FailureError(data)
    return codec.unpack(data, records.Segment)


def read_segment(objects, name):
    """Returns the segment of that name, cached, or a Failure."""
    try:
        return _read_segment_cached(objects, name)
    except errors.FailureError as exc:
        return exc.failure


def read_record(objects, reference):
    """Returns the record at a reference, or a Failure."""
    found = read_segment(objects, reference.segment)
    if isinstance(found, errors.Failure):
        return found
    return found.records[reference.position]
