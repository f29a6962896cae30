"""Periodic tasks: poll targets, send hints, renew claims, place partitions."""

import concurrent.futures
import threading

import eliot
import pykka

from samphirepost import errors
from samphirepost import messages
from samphirepost import orders
from samphirepost import placement
from samphirepost import tables
from samphirepost_daemon import ledgers
from samphirepost_daemon import members
from samphirepost_daemon import runnermessages

RUNNER_TICK_S = 0.05
LEDGER_TICK_S = 0.5
HINT_INTERVAL_S = 0.05
HINT_REFRESH_S = 1.0
# A load that changed by more than this share is sent at once.
HINT_CHANGE_SHARE = 0.25
HINT_TIMEOUT_S = 0.3
RENEW_TIMEOUT_S = 1.0
# Engines that one daemon polls.
SUBSET_TARGETS = 24
REQUEST_THREADS = 8
MISPLACED_TICKS_MAX = 4


class PeriodicThread(threading.Thread):
    """Calls `run_once` at a fixed interval until it is stopped.

    An exception is logged, and the thread continues; it ends once the actor
    that `run_once` uses has stopped.
    """

    def __init__(self, interval_s, run_once):
        super().__init__(daemon=True)
        self._interval_s = interval_s
        self._run_once = run_once
        self._stopped = threading.Event()

    def run(self):
        while not self._stopped.wait(self._interval_s):
            try:
                self._run_once()
            except pykka.ActorDeadError:
                return
            except Exception as exc:
                eliot.log_message(message_type="poller:error", error=repr(exc))

    def stop(self):
        """Stops the thread."""
        self._stopped.set()


class LoadPoller:
    """Polls the load of the engines that this daemon sends work to."""

    def __init__(self, cfg, active_tables, directory, load_tracker, client):
        self._cfg = cfg
        self._active_tables = active_tables
        self._directory = directory
        self._load_tracker = load_tracker
        self._client = client
        self._pool = concurrent.futures.ThreadPoolExecutor(REQUEST_THREADS)

    def run_once(self):
        """Polls every engine of this daemon's subset once."""
        self._load_tracker.set_listed_leaving(self._directory.view.leaving)
        engines = {
            name: destination
            for name, destination in tables.targets(
                self._active_tables.tables
            ).items()
            if destination.kind is tables.TargetKind.ENGINE
        }
        chosen = placement.target_subset(
            self._cfg.id, self._cfg.zone, engines.values(), SUBSET_TARGETS
        )
        list(
            self._pool.map(
                self._poll_target, [engines[name] for name in chosen]
            )
        )

    def _poll_target(self, destination):
        report = self._client.request_load_report(destination)
        if isinstance(report, errors.Failure):
            self._load_tracker.record_missed_report(destination.id)
        else:
            self._load_tracker.record_report(destination.id, report)


class OrderSender:
    """Orders engines to load their pool's model.

    Each engine is ordered by the one daemon that admits batch work for it.
    """

    def __init__(
        self, name, clock, active_tables, directory, load_tracker, client
    ):
        self._name = name
        self._clock = clock
        self._active_tables = active_tables
        self._directory = directory
        self._load_tracker = load_tracker
        self._client = client
        self._revision = 0
        self._revision_since_s = 0.0
        self._orders_sent = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(REQUEST_THREADS)

    def run_once(self):
        """Sends an order to every engine that needs one and may load now."""
        active = self._active_tables.tables
        now_s = self._clock.monotonic_s()
        if active.revision != self._revision:
            self._revision, self._revision_since_s = active.revision, now_s
        serving = self._directory.serving_names()
        for pool in active.pools.values():
            order = orders.desired_order(pool, active.revision)
            if order is None:
                continue
            for destination in pool.targets:
                admitter = placement.admitter(destination.id, serving)
                if admitter == self._name:
                    self._send_order(pool, destination, order, now_s)

    def _send_order(self, pool, destination, order, now_s):
        report = self._load_tracker.last_report(destination.id)
        if report is None or orders.is_applied(order, report):
            return
        if not orders.is_load_turn(
            pool, destination.id, self._revision_since_s, now_s
        ):
            return
        last_order = self._orders_sent.get(destination.id)
        if not orders.is_due(order, last_order, now_s):
            return
        self._orders_sent[destination.id] = orders.LastOrder(
            order.fencing, now_s
        )
        eliot.log_message(
            message_type="engine:ordered",
            target=destination.id,
            model=order.model,
            fencing=order.fencing,
        )
        self._pool.submit(self._client.send_order, destination, order)


class HintSender:
    """Sends changes of this daemon's online load to the admitters.

    An admitter is the daemon that admits batch work for a target.
    """

    def __init__(
        self, name, clock, load_tracker, directory, client, runner_ref
    ):
        self._name = name
        self._clock = clock
        self._load_tracker = load_tracker
        self._directory = directory
        self._client = client
        self._runner_ref = runner_ref
        self._sent = {}
        self._sent_at_s = {}

    def run_once(self):
        """Sends changed loads, and every load above 0 each HINT_REFRESH_S."""
        by_member = {}
        now_s = self._clock.monotonic_s()
        serving = self._directory.serving_names()
        for name, load in self._load_tracker.loads().items():
            if self._should_send(name, load.online, now_s):
                admitter = placement.admitter(name, serving)
                by_member.setdefault(admitter, {})[name] = load.online
                self._sent[name] = load.online
                self._sent_at_s[name] = now_s
        for member, targets in by_member.items():
            self._send_hint(member, targets)

    def _should_send(self, name, online, now_s):
        last_sent = self._sent.get(name, 0)
        if abs(online - last_sent) > HINT_CHANGE_SHARE * last_sent:
            return True
        age_s = now_s - self._sent_at_s.get(name, 0.0)
        return online > 0 and age_s > HINT_REFRESH_S

    def _send_hint(self, name, targets):
        counts = messages.OnlineCounts(self._name, targets)
        if name == self._name:
            self._runner_ref.tell(runnermessages.Hint(counts))
            return
        member = self._directory.find_member(name) if name else None
        if member is not None:
            self._client.request(member.peer, counts, HINT_TIMEOUT_S)


class ClaimRenewer:
    """Renews the runner's claims and notifies it of those no longer held."""

    def __init__(self, name, owners, runner_ref):
        self._name = name
        self._owners = owners
        self._runner_ref = runner_ref

    def run_once(self):
        """Renews every claim once."""
        by_partition = self._runner_ref.ask(runnermessages.GetClaims())
        for partition, claims in by_partition.items():
            command = messages.RenewClaims(
                partition, self._name, tuple(claims)
            )
            reply = self._owners.request(partition, command, RENEW_TIMEOUT_S)
            if isinstance(reply, messages.RenewReply) and reply.lost:
                self._runner_ref.tell(runnermessages.ClaimsLost(reply.lost))


class PartitionPlacer:
    """Acquires and releases partitions as the members change."""

    def __init__(self, name, ledger_ref, members_ref, directory):
        self._name = name
        self._ledger_ref = ledger_ref
        self._members_ref = members_ref
        self._directory = directory
        self._misplaced = {}
        self.stopped = False

    def run_once(self):
        """Acquires suspect partitions that this daemon should own.

        Also expires claims and publishes the partitions with pending items.
        """
        self._ledger_ref.tell(ledgers.Tick())
        pending = self._ledger_ref.ask(ledgers.GetPendingPartitions())
        self._members_ref.tell(members.SetPendingPartitions(pending))
        if self.stopped:
            return
        view = self._directory.view
        serving = self._directory.serving_names()
        owned = self._ledger_ref.ask(ledgers.GetOwnedPartitions())
        for partition, revision in view.suspects.items():
            if partition in owned:
                continue
            if placement.partition_owner(partition, serving) == self._name:
                self._ledger_ref.tell(
                    ledgers.AcquirePartition(partition, revision)
                )
        self._release_misplaced(owned, serving)

    def _release_misplaced(self, owned, serving):
        """Releases partitions that another daemon should own.

        It must be preferred for more than MISPLACED_TICKS_MAX ticks.
        """
        misplaced = {}
        for partition in owned:
            preferred = placement.partition_owner(partition, serving)
            if preferred in (None, self._name):
                continue
            misplaced[partition] = self._misplaced.get(partition, 0) + 1
            if misplaced[partition] > MISPLACED_TICKS_MAX:
                self._ledger_ref.tell(ledgers.ReleasePartition(partition))
        self._misplaced = misplaced
