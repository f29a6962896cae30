"""Fakes at the interfaces: a table service and object store in memory."""

from samphirepost import codec
from samphirepost import errors
from samphirepost import holding
from samphirepost import jobs
from samphirepost import ledger
from samphirepost import messages
from samphirepost import records
from samphirepost_daemon import partitionlog
from samphirepost_daemon import platformapi

CLAIM_S = 5.0
LEASE_S = 5.0
BLAMES_MAX = 3
OUT = errors.Failure(errors.Kind.PLATFORM_OUT, "out")
LOST = errors.Failure(
    errors.Kind.PLATFORM_UNCERTAIN, "lost", errors.Outcome.UNKNOWN
)


class FakeTable:
    """A table service that fails as it is told, a call at a time.

    `faults` holds what strikes the next writes: "refuse", "lose" (applied,
    the answer is lost), "late" (applied by a later `deliver`, the answer is
    lost).
    """

    def __init__(self):
        self.rows = {}
        self.revision = 0
        self.faults = []
        self.reads_out = False
        self.delayed = []
        self.writes = 0

    def read(self, key):
        """Returns a row, None or a Failure."""
        return OUT if self.reads_out else self.rows.get(key)

    def scan(self, prefix):
        """Returns the rows under a prefix, or a Failure."""
        if self.reads_out:
            return OUT
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys)

    def write(self, transaction):
        """Applies a transaction under the next fault."""
        self.writes += 1
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "refuse":
            return OUT
        if fault == "late":
            self.delayed.append(transaction)
            return LOST
        outcome = self._apply(transaction)
        return LOST if fault == "lose" else outcome

    def deliver(self, index):
        """Applies a delayed write now."""
        if self.delayed:
            self._apply(self.delayed.pop(index % len(self.delayed)))

    def _apply(self, transaction):
        at = {key: self._at(key) for key in transaction.checks}
        if at != transaction.checks:
            return platformapi.Conflict(at)
        found = {}
        for key, value in transaction.puts.items():
            self.revision += 1
            self.rows[key] = platformapi.VersionedRow(
                key, self.revision, transaction.write, value
            )
            found[key] = self.revision
        return platformapi.Written(found)

    def _at(self, key):
        row = self.rows.get(key)
        return platformapi.ABSENT if row is None else row.revision


class FakeObjects:
    """An object store in memory."""

    def __init__(self):
        self.held = {}
        self.out = False

    def put(self, name, data):
        """Stores an object, or fails."""
        if self.out:
            return OUT
        self.held[name] = data
        return None

    def get(self, name):
        """Returns an object, or a Failure."""
        if self.out:
            return OUT
        if name not in self.held:
            return errors.Failure(errors.Kind.NOT_FOUND, name)
        return self.held[name]


class Ids:
    """Makes write ids that differ and do not depend on chance."""

    def __init__(self, prefix="write"):
        self.prefix = prefix
        self.count = 0

    def __call__(self):
        self.count += 1
        return f"{self.prefix}-{self.count}"


class Config:
    """The ledger's settings that loading needs."""

    claim_ms = CLAIM_S * 1000
    lease_ms = LEASE_S * 1000
    attempts_max = BLAMES_MAX


class Limits:
    """The limits that a server needs."""

    store_wait_ms = 1000


class Owner:
    """A daemon that may own partition 0, one step at a time.

    Between any two steps it may be paused while others go on.
    """

    def __init__(self, name, table, objects, new_id, snapshot_segments=3):
        self.name = name
        self.table = table
        self.services = platformapi.Platform(table, objects, None)
        self.new_id = new_id
        self.limits = holding.Limits(1000, snapshot_segments)
        self.held = None
        self.closing = None
        self.put = False
        self.taking = None
        self.said = []

    def take(self, now):
        """Begins to take the lease: loads and fixes the row to write."""
        loaded = partitionlog.load_partition(self.services, 0, Config, now)
        if isinstance(loaded, errors.Failure):
            return
        row = holding.taken(loaded.row, self.name, self.new_id())
        self.taking = (row, loaded, now)

    def settle_take(self):
        """Tries once to settle the lease."""
        row, loaded, asked = self.taking
        outcome = partitionlog.write_row(self.table, 0, row, loaded.revision)
        if isinstance(outcome, errors.Failure):
            return
        self.taking = None
        if isinstance(outcome, platformapi.Conflict):
            return
        revision = outcome.revisions[partitionlog.row_key(0)]
        self.held = holding.Holding(
            0,
            row,
            revision,
            loaded.state,
            holding.hold(Config, asked.monotonic_s),
            self.limits,
            self.new_id,
        )

    def handle(self, command, ticket, now, live=lambda name: True):
        """Decides on a command; replies due are kept in `said`."""
        if self.held is None:
            return
        due = self.held.handle(command, ticket, now, live)
        if due is not None:
            self.said.append(due)

    def close(self, now):
        """Closes the open segment."""
        if self.held is not None and self.closing is None:
            self.closing = (self.held.close(), now)
            self.put = False

    def commit(self, now):
        """Tries once to write what is closed."""
        closing, asked = self.closing
        if not self.put:
            for name, data in (
                (closing.segment_name, closing.segment),
                (closing.snapshot_name, closing.snapshot),
            ):
                if name and self.services.objects.put(name, data) is not None:
                    return
            self.put = True
        outcome = partitionlog.write_row(
            self.table, 0, closing.row, closing.revision
        )
        if isinstance(outcome, errors.Failure):
            self.held.outage = True
            return
        self.closing = None
        if isinstance(outcome, platformapi.Conflict):
            self.said.extend(self.held.dropped(True))
            self.held = None
            return
        revision = outcome.revisions[partitionlog.row_key(0)]
        self.said.extend(
            self.held.committed(closing.row, revision, asked.monotonic_s, now)
        )

    def run_to_end(self, now):
        """Commits all that is open, with no more faults."""
        while self.held is not None and (
            self.closing or not self.held.settled
        ):
            self.close(now)
            self.commit(now)


def at(seconds):
    """Returns both clocks at an instant."""
    return ledger.Now(float(seconds), 1000.0 + seconds)


def begin(work="req-000-a", attempt="1", idempotent=False, digest="d"):
    """Returns a Begin."""
    return messages.Begin(
        work, "caller", digest, attempt, "vm-a", idempotent, 2000.0
    )


def finish(work="req-000-a", attempt="1", idempotent=False, body=b"x"):
    """Returns a Finish."""
    result = records.Result(200, "application/json", body)
    return messages.Finish(work, "caller", "d", attempt, idempotent, result)


def job(total=4, work="job-000-j", idempotent=True, caller="caller", due=9e9):
    """Returns an accepted job."""
    return records.JobAccepted(
        work, caller, "d", "summary", idempotent, total, 10, ("in",), due, 0.0
    )


def pull(claim, room=10, runner="vm-a", alone=True):
    """Returns a Pull."""
    return messages.Pull(0, runner, claim, ("summary",), room, alone)


def done(item, line=b"{}"):
    """Returns an item's result."""
    return messages.ItemResult(item, int(jobs.Item.DONE), line)


def load(table, objects, now):
    """Returns the state that the platform holds for partition 0."""
    services = platformapi.Platform(table, objects, None)
    return partitionlog.load_partition(services, 0, Config, now).state


def log(table, objects):
    """Returns the committed records by reference, in order.

    Snapshots are off in tests that use it, so the row has every segment.
    """
    found = {}
    if partitionlog.row_key(0) not in table.rows:
        return found
    for name in row(table).segments:
        segment = codec.unpack(objects.held[name], records.Segment)
        for position, record in enumerate(segment.records):
            found[records.Reference(name, position)] = record
    return found


def row(table):
    """Returns the partition's row."""
    return codec.unpack(table.rows[partitionlog.row_key(0)].value, records.Row)


def owner(table, objects, name="vm-a", seconds=0):
    """Returns an owner that has taken the lease."""
    found = Owner(name, table, objects, Ids(name))
    found.take(at(seconds))
    found.settle_take()
    return found


def put(table, key, value):
    """Writes a typed value into a row."""
    found = table.rows.get(key)
    revision = platformapi.ABSENT if found is None else found.revision
    table.write(
        platformapi.Transaction(
            "put", {key: revision}, {key: codec.pack(value)}
        )
    )
