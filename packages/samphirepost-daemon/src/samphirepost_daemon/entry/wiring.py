"""Composition root of the entry daemon: creates and connects its parts."""

import logging
import secrets
import time

import msgspec

from samphirepost import crashes
from samphirepost import memorybudget
from samphirepost import quarantine
from samphirepost import quotas
from samphirepost import ratelimit
from samphirepost import relays
from samphirepost import selection
from samphirepost import streamversions
from samphirepost_daemon import callerguard
from samphirepost_daemon.entry import answermemory
from samphirepost_daemon.entry import batch
from samphirepost_daemon.entry import boundedhttp
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import enginerelay
from samphirepost_daemon.entry import holder
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import log as log_module
from samphirepost_daemon.entry import members
from samphirepost_daemon.entry import metrics
from samphirepost_daemon.entry import online
from samphirepost_daemon.entry import pathmonitor
from samphirepost_daemon.entry import quarantinetable
from samphirepost_daemon.entry import refusals
from samphirepost_daemon.entry import slots
from samphirepost_daemon.entry import state
from samphirepost_daemon.entry import storeclock
from samphirepost_daemon.entry import storerelay
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.entry import versiontable
from samphirepost_daemon.entry import watch
from samphirepost_daemon.entry import web
from samphirepost_daemon.entry import where
import samphirepost_daemon.listener as listener
from samphirepost_daemon.platform import client
from samphirepost_daemon.platform import registry

READINESS_THREADS = 2
STORE_RELAY_THREADS = 8
# Connections of the listeners for peers and for readiness checks. A VM has at
# least 1,638 file descriptors; `listen.connections` is that of callers. Each
# request and each relayed run needs a second one, to an engine.
PEER_CONNECTIONS_MAX = 200
READINESS_CONNECTIONS_MAX = 50
# Budget of the listener for readiness checks and metrics: a crowd of callers
# must not make the VM look unready.
READINESS_BUDGET_BYTES = 4_000_000
# A relayed order keeps its body once.
RELAY_BODY_COPIES = 1
# A connection without a request is closed after this time (s).
IDLE_TIMEOUT_S = 60
# Longest wait of one feed of the members table. Its changes are not urgent: a
# new member only adds to the known loads.
MEMBERS_FEED_WAIT_MAX_S = 5.0
# The same of the base versions, which rarely change.
BASES_FEED_WAIT_MAX_S = 10.0
# The same of the quarantine table, whose changes the hub announces.
QUARANTINE_FEED_WAIT_MAX_S = 10.0
BODY_BYTES_MAX = 8_000_000

# waitress logs connections that callers closed; the daemon logs these itself,
# with the id of the request.
logging.getLogger("waitress").setLevel(logging.CRITICAL)


class SharedParts:
    """Objects that most parts share.

    `budget` is the memorybudget.Budget of all that is kept for others, and
    `answers` the AnswerMemories of what engines send.
    `dialer` opens connections to engines, see engineclient.dial(). `slots` is
    the SlotExchange, `paths` the PathMonitor and `streams` the StreamTable,
    set once they are created.
    """

    __slots__ = (
        "answers",
        "bases",
        "budget",
        "dialer",
        "follows_rises",
        "limits",
        "load_tracker",
        "log",
        "me",
        "metrics",
        "observations",
        "paths",
        "quarantine",
        "quotas",
        "slots",
        "state",
        "streams",
        "zone",
    )

    def __init__(
        self, me, zone, revocation=None, quota_bounds=None, memory_mb=0.0
    ):
        self.me = me
        self.zone = zone
        self.log = log_module.Log(me)
        self.metrics = metrics.Metrics()
        self.state = state.State(revocation)
        self.load_tracker = selection.LoadTracker(zone)
        self.quarantine = quarantine.Quarantine()
        self.observations = crashes.Observations()
        self.limits = ratelimit.SeenLimits()
        self.quotas = quotas.LocalQuotas(
            quota_bounds or quotas.Bounds(), time.monotonic()
        )
        self.budget = memorybudget.Budget(memorybudget.budget_bytes(memory_mb))
        self.metrics.show_budget(self.budget)
        self.answers = answermemory.AnswerMemories(self.budget, self.log)
        self.bases = streamversions.Bases()
        self.dialer = engineclient.dial
        self.follows_rises = False
        self.slots = None
        self.paths = None
        self.streams = None


class Daemon:
    """All parts of one daemon; core starts and stops them.

    Its id is that of the settings with a random suffix, so that a restarted
    daemon is not mistaken for its previous incarnation.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        me = f"{cfg.id}-{secrets.token_hex(4)}"
        parts = self.parts = SharedParts(
            me, cfg.zone, cfg.revocation, cfg.quota, cfg.memory_mb
        )
        parts.follows_rises = cfg.follow_rises
        self.log = parts.log
        self.state = parts.state
        self.slots = parts.slots = slots.SlotExchange(
            parts, cfg.peer_address, cfg.peer_port
        )
        self.paths = parts.paths = pathmonitor.PathMonitor(
            parts, self._peer_addresses
        )
        self.metrics = parts.metrics
        self.quarantine = parts.quarantine
        self.observations = parts.observations
        self.watchdog = boundedhttp.Watchdog(parts.log)
        self.store = storerelay.FailoverStore(
            me,
            client.StoreClient(
                cfg.store.address, parts.metrics, self.watchdog, parts.budget
            ),
            lambda: self.slots.hub_selector.members,
            parts.log,
            parts.metrics,
            self.watchdog,
            parts.budget,
        )
        store_client = self.store
        job_store = jobstore.JobStore(
            store_client,
            me,
            cfg.store.row_bytes_max,
            parts.log,
            parts.budget,
        )
        self.actor = holder.Holder.start(
            parts, job_store, self.slots.member_ids
        )
        self.engine_relay = enginerelay.EngineRelayApp(
            parts, lambda: self.slots.hub_selector.members
        )
        limits = _caller_limits(cfg.listen)
        self.relay = _make_listener(
            parts,
            parts.budget,
            "peers",
            web.PathDispatcher(
                {
                    storerelay.PATH: storerelay.RelayApp(store_client),
                    tunnel.PATH: self.engine_relay,
                }
            ),
            f"{cfg.peer_address}:{cfg.peer_port}",
            STORE_RELAY_THREADS + relays.RUNS_MAX,
            PEER_CONNECTIONS_MAX,
            memorybudget.Kind.RELAY,
            msgspec.structs.replace(limits, body_copies=RELAY_BODY_COPIES),
            output_bytes_max=enginerelay.OUTPUT_BYTES_MAX,
        )
        self.membership = members.MembershipWriter(
            store_client, me, cfg.peer_address, cfg.peer_port, parts.log
        )
        clock = storeclock.StoreClock()
        self.quarantine_writer = quarantinetable.QuarantineWriter(
            store_client, parts, clock
        )
        self.slots.hub_server.decided = self.quarantine_writer.put
        self.slots.hub_server.released = self.quarantine_writer.remove
        parts.streams = versiontable.StreamTable(store_client, parts, clock)
        bases_sink = versiontable.BasesSink(parts, clock)
        self.base_keeper = versiontable.BaseKeeper(
            store_client, parts, bases_sink, clock
        )
        self.watchers = [
            watch.TableWatcher(
                store_client,
                registry.CONFIG_TABLE,
                watch.TablesSink(parts.state, parts.log),
                parts.log,
            ),
            watch.TableWatcher(
                store_client,
                registry.ENGINE_TABLE,
                watch.EnginesSink(parts.state, parts.log),
                parts.log,
            ),
            watch.TableWatcher(
                store_client,
                members.MEMBERS_TABLE,
                members.MembersSink(self.slots.hub_selector, parts.log),
                parts.log,
                MEMBERS_FEED_WAIT_MAX_S,
            ),
            watch.TableWatcher(
                store_client,
                quarantinetable.QUARANTINE_TABLE,
                quarantinetable.QuarantineSink(parts, clock),
                parts.log,
                QUARANTINE_FEED_WAIT_MAX_S,
            ),
            watch.TableWatcher(
                store_client,
                versiontable.BASES_TABLE,
                bases_sink,
                parts.log,
                BASES_FEED_WAIT_MAX_S,
            ),
        ]
        app = web.CallerApp(
            parts,
            online.OnlineHandler(parts),
            batch.JobHandler(parts, job_store, self.actor),
        )
        self.callers = _make_listener(
            parts,
            parts.budget,
            "callers",
            app,
            cfg.listen.callers,
            cfg.listen.threads,
            cfg.listen.connections,
            memorybudget.Kind.CALLER,
            limits,
        )
        self.readiness = _make_listener(
            parts,
            memorybudget.Budget(READINESS_BUDGET_BYTES),
            "readiness",
            web.ReadinessApp(parts, where.WhereApp(parts)),
            cfg.listen.readiness,
            READINESS_THREADS,
            READINESS_CONNECTIONS_MAX,
            memorybudget.Kind.CALLER,
            limits,
        )

    def _peer_addresses(self):
        """Returns the addresses of the other daemons by VM id."""
        members = self.slots.hub_selector.members
        return {
            vm: address
            for vm, address in members.items()
            if vm != self.parts.me
        }

    def log_thread_failure(self, args):
        """Logs an exception that ended a thread; for threading.excepthook."""
        where = args.thread.name if args.thread else ""
        self.log.failure("fault", where=where, error=repr(args.exc_value))


def _caller_limits(cfg):
    """Returns the limits of all listeners."""
    return callerguard.Limits(
        cfg.head_bytes,
        cfg.head_s,
        cfg.body_silence_s,
        cfg.empty_line_bytes,
    )


def _make_listener(
    parts,
    budget,
    name,
    app,
    address,
    threads,
    connections,
    kind,
    limits,
    **bounds,
):
    return listener.Listener(
        app,
        address,
        threads,
        BODY_BYTES_MAX,
        connections,
        IDLE_TIMEOUT_S,
        keep_proxy_headers=True,
        guard=callerguard.Guard(
            budget, kind, limits, refusals.RefusalReport(parts, name)
        ),
        **bounds,
    )
