"""The composition root of the entry daemon."""

import logging
import secrets

from samphirepost import selection
from samphirepost_daemon.entry import batch
from samphirepost_daemon.entry import holder
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import log as log_module
from samphirepost_daemon.entry import metrics
from samphirepost_daemon.entry import online
from samphirepost_daemon.entry import peers
from samphirepost_daemon.entry import relay
from samphirepost_daemon.entry import state
from samphirepost_daemon.entry import watch
from samphirepost_daemon.entry import web
import samphirepost_daemon.listener as listener
from samphirepost_daemon.platform import client
from samphirepost_daemon.platform import registry

READINESS_THREADS = 2
RELAY_THREADS = 8
# Connections of one listener; today's VMs have 4,100 descriptors at least,
# and each request needs one more towards an engine.
CONNECTIONS_MAX = 2000
# How long a connection may stay open without a request (s).
IDLE_S = 60
# Longest wait of one look at the members (s): a new one only adds to what
# is known of loads.
MEMBERS_WAIT_S = 5.0
BODY_BYTES_MAX = 8_000_000

# waitress reports connections that callers left; the daemon logs these with
# the request's id itself.
logging.getLogger("waitress").setLevel(logging.CRITICAL)


class Parts:
    """What most parts need: beliefs, counts, log and metrics."""

    __slots__ = ("board", "log", "me", "metrics", "state")

    def __init__(self, me, zone):
        self.me = me
        self.log = log_module.Log(me)
        self.metrics = metrics.Metrics()
        self.state = state.State()
        self.board = selection.Board(zone)


class Daemon:
    """The parts of one daemon that are started and stopped."""

    def __init__(self, cfg):
        self.cfg = cfg
        me = f"{cfg.id}-{secrets.token_hex(4)}"
        parts = Parts(me, cfg.zone)
        self.log = parts.log
        self.state = parts.state
        self.peers = peers.Peers(
            me, cfg.peer_address, cfg.peer_port, parts.board, parts.log
        )
        self.metrics = parts.metrics
        self.store = relay.Failover(
            me,
            client.StoreClient(cfg.store.address, parts.metrics),
            lambda: self.peers.ranking.members,
            parts.log,
            parts.metrics,
        )
        calls = self.store
        kept = jobstore.JobStore(calls, me, cfg.store.row_bytes_max)
        self.actor = holder.Holder.start(parts, kept, self.peers.alive)
        self.relay = _listener(
            relay.App(calls),
            f"{cfg.peer_address}:{cfg.peer_port}",
            RELAY_THREADS,
        )
        self.membership = peers.Membership(
            calls, me, cfg.peer_address, cfg.peer_port, parts.log
        )
        self.watches = [
            watch.Watch(
                calls,
                registry.CONFIG_TABLE,
                watch.Tables(parts.state, parts.log),
                parts.log,
            ),
            watch.Watch(
                calls,
                registry.ENGINE_TABLE,
                watch.Engines(parts.state, parts.log),
                parts.log,
            ),
            watch.Watch(
                calls,
                peers.TABLE,
                peers.Members(self.peers.ranking, parts.log),
                parts.log,
                MEMBERS_WAIT_S,
            ),
        ]
        app = web.App(
            parts,
            online.Online(parts),
            batch.JobHandler(parts, kept, self.actor),
        )
        self.callers = _listener(app, cfg.listen.callers, cfg.listen.threads)
        self.readiness = _listener(
            web.Readiness(parts), cfg.listen.readiness, READINESS_THREADS
        )

    def fault(self, args):
        """Logs an exception that ended a thread."""
        where = args.thread.name if args.thread else ""
        self.log.failure("fault", where=where, error=repr(args.exc_value))


def _listener(app, address, threads):
    return listener.Listener(
        app,
        address,
        threads,
        BODY_BYTES_MAX,
        CONNECTIONS_MAX,
        IDLE_S,
        keep_proxy_headers=True,
    )
