"""Composition root: creates the components of a daemon and connects them."""

from samphirepost_daemon import activetables
from samphirepost_daemon import batches
from samphirepost_daemon import clock as clock_module
from samphirepost_daemon import commandbuffer
from samphirepost_daemon import directory as directory_module
from samphirepost_daemon import dispatch
from samphirepost_daemon import heartbeats
from samphirepost_daemon import identity
from samphirepost_daemon import ledgers
from samphirepost_daemon import listener
from samphirepost_daemon import loadtracker
from samphirepost_daemon import members
from samphirepost_daemon import online
from samphirepost_daemon import operators
from samphirepost_daemon import outbox
from samphirepost_daemon import owners
from samphirepost_daemon import peercommands
from samphirepost_daemon import peers
from samphirepost_daemon import platformapi
from samphirepost_daemon import pollers
from samphirepost_daemon import readiness
from samphirepost_daemon import requestserver
from samphirepost_daemon import runner
from samphirepost_daemon import runnermessages
from samphirepost_daemon import targetclient

CONNECTIONS_PER_THREAD = 4  # of a listener
IDLE_TIMEOUT_S = 300  # of a connection without a request


class Daemon:
    """The components of one daemon; they are started by `lifecycle`."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.clock = clock_module.Clock()
        self.own_member = identity.make_member(cfg)
        self.active_tables = activetables.ActiveTables()
        self.directory = directory_module.Directory(cfg.confirm_ms / 1000)
        self.readiness = readiness.Readiness(self.clock, self.directory)
        self.services = platformapi.connect(cfg.platform)
        self.client = peers.Client()
        self._make_actors()
        self._make_threads()
        self._make_listeners()

    def _make_actors(self):
        cfg = self.cfg
        self.load_tracker = loadtracker.LoadTracker(self.clock)
        self.ledger = ledgers.LedgerActor.start(
            self.own_member.name,
            cfg.ledger,
            self.services,
            self.clock,
            self.directory.is_live,
        )
        self.members = members.MembersActor.start(
            self.own_member,
            cfg,
            self.clock,
            self.directory,
            self.active_tables,
        )
        self.owners = owners.OwnerClient(
            self.own_member.name,
            self.ledger,
            self.client,
            self.directory,
            self.clock,
        )
        self.outbox = outbox.Outbox(self.owners)
        self.runner = runner.Runner.start(
            self.own_member.name,
            cfg,
            self.clock,
            self.owners,
            self.directory,
            self.active_tables,
            self._make_dispatcher(),
            self.services.objects,
            self.outbox,
        )

    def _make_dispatcher(self):
        """Returns a dispatcher whose client has connections of its own."""
        client = targetclient.Client(self.cfg.limits.silence_ms)
        return dispatch.Dispatcher(
            self.clock, self.load_tracker, client, self.active_tables
        )

    def _make_threads(self):
        cfg = self.cfg
        load_poller = pollers.LoadPoller(
            cfg,
            self.active_tables,
            self.directory,
            self.load_tracker,
            targetclient.Client(cfg.limits.silence_ms),
        )
        order_sender = pollers.OrderSender(
            self.own_member.name,
            self.clock,
            self.active_tables,
            self.directory,
            self.load_tracker,
            targetclient.Client(cfg.limits.silence_ms),
        )
        hint_sender = pollers.HintSender(
            self.own_member.name,
            self.clock,
            self.load_tracker,
            self.directory,
            self.client,
            self.runner,
        )
        claim_renewer = pollers.ClaimRenewer(
            self.own_member.name, self.owners, self.runner
        )
        self.placer = pollers.PartitionPlacer(
            self.own_member.name, self.ledger, self.members, self.directory
        )
        self.command_buffer = commandbuffer.CommandBuffer(
            self.owners, self.client, self.directory, cfg.zone
        )
        heartbeat_loop = heartbeats.HeartbeatLoop(
            self.members,
            self.services,
            self.client,
            self.clock,
            self.active_tables,
            cfg,
        )
        claim_s = cfg.ledger.claim_ms / 1000
        self.threads = [
            pollers.PeriodicThread(
                cfg.heartbeat_ms / 1000, heartbeat_loop.run_once
            ),
            self.command_buffer,
            self.outbox,
            pollers.PeriodicThread(cfg.report_ms / 1000, load_poller.run_once),
            pollers.PeriodicThread(
                cfg.report_ms / 1000, order_sender.run_once
            ),
            pollers.PeriodicThread(
                pollers.HINT_INTERVAL_S, hint_sender.run_once
            ),
            pollers.PeriodicThread(claim_s / 4, claim_renewer.run_once),
            pollers.PeriodicThread(
                pollers.LEDGER_TICK_S, self.placer.run_once
            ),
            pollers.PeriodicThread(pollers.RUNNER_TICK_S, self._tick_runner),
        ]

    def _tick_runner(self):
        self.runner.tell(runnermessages.Tick())

    def _make_listeners(self):
        cfg = self.cfg
        handler = peercommands.CommandHandler(
            self.owners,
            self.members,
            self.runner,
            self.active_tables,
            self.readiness,
            self.command_buffer,
        )
        self.peer_server = peers.Server(self.own_member.peer, handler.handle)
        listen = cfg.listen
        self.online = self._make_listener(
            self._make_online_app(),
            listen.online_port,
            listen.online_threads,
            cfg.limits.body_bytes_max,
        )
        self.batch = self._make_listener(
            self._make_batch_app(),
            listen.batch_port,
            listen.batch_threads,
            cfg.limits.upload_bytes_max,
        )
        self.operator = self._make_listener(
            self._make_operator_app(),
            listen.operator_port,
            listen.operator_threads,
            operators.BODY_BYTES_MAX,
        )
        self.listeners = [self.online, self.batch, self.operator]

    def _make_listener(self, app, port, threads, body_bytes_max):
        return listener.Listener(
            app,
            f"{self.cfg.listen.host}:{port}",
            threads,
            body_bytes_max,
            connections_max=CONNECTIONS_PER_THREAD * threads,
            idle_s=IDLE_TIMEOUT_S,
        )

    def _make_online_app(self):
        server = requestserver.RequestServer(
            self.own_member.name,
            self.clock,
            self.owners,
            self._make_dispatcher(),
            self.services.objects,
            self.command_buffer,
            self.cfg.limits,
        )
        return online.OnlineApp(
            self.clock, self.cfg, self.active_tables, self.readiness, server
        )

    def _make_batch_app(self):
        return batches.BatchesApp(
            self.clock,
            self.cfg,
            self.active_tables,
            self.readiness,
            self.owners,
            self.services.objects,
        )

    def _make_operator_app(self):
        return operators.OperatorsApp(
            self.clock,
            self.active_tables,
            self.readiness,
            self.directory,
            self.services.table,
        )
