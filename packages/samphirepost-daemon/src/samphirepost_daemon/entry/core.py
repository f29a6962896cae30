"""Entry daemon life cycle: start, serve until signalled, drain, exit."""

import os
import signal
import sys
import threading
import time

from samphirepost import errors
from samphirepost_daemon.entry import heap
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import settings
from samphirepost_daemon.entry import wiring

EXIT_BAD_SETTINGS = 2
TICK_INTERVAL_S = 0.05
# The process exits this long before SIGKILL, even if work is in progress.
EXIT_MARGIN_S = 0.5
# Shortest time for closing the listeners (s), which is otherwise what is left
# until the exit.
CLOSE_MIN_S = 0.1
# Time for sending the last responses (s), before the exit.
SEND_MARGIN_S = 0.2


class Signals:
    """The signals that have come; its handlers take no lock.

    A handler runs between two steps of the main thread. That thread may hold
    the lock of an Event for which it waits, and setting it would never end.
    """

    __slots__ = ("reload", "stop")

    def __init__(self):
        self.reload = False
        self.stop = False

    def install(self):
        """Handles SIGTERM, SIGINT and SIGHUP from now on."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._request_stop)
        signal.signal(signal.SIGHUP, self._request_reload)

    def _request_stop(self, *_):
        self.stop = True

    def _request_reload(self, *_):
        self.reload = True


def main(path):
    """Reads the settings and runs the daemon until SIGTERM or SIGINT.

    Exits with EXIT_BAD_SETTINGS if the settings are invalid.
    """
    cfg = settings.read(path)
    if isinstance(cfg, errors.Failure):
        print(f"samphirepostd: {cfg.reason}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    heap.return_large_blocks()
    signals = Signals()
    signals.install()
    daemon = wiring.Daemon(cfg)
    threading.excepthook = daemon.log_thread_failure
    start(daemon)
    pause = threading.Event()
    while not signals.stop:
        pause.wait(TICK_INTERVAL_S)
        tick(daemon)
        if signals.reload:
            signals.reload = False
            log_changed_settings(daemon, path)
    drain(daemon)
    os._exit(0)


def start(daemon):
    """Starts all threads and listeners of the daemon.

    Returns at once; the daemon is ready when it has read the tables and the
    engines.
    """
    daemon.log.start()
    daemon.log.event("daemon.started", zone=daemon.cfg.zone)
    for watcher in daemon.watchers:
        watcher.start()
    daemon.paths.start()
    daemon.slots.start()
    daemon.relay.start()
    daemon.membership.start()
    daemon.quarantine_writer.start()
    daemon.base_keeper.start()
    daemon.readiness.start()
    daemon.callers.start()


def tick(daemon):
    """Starts what is due; called every TICK_INTERVAL_S."""
    daemon.actor.tell(holdermessages.Tick())
    daemon.watchdog.check(time.monotonic())


def log_changed_settings(daemon, path):
    """Logs whether the settings changed; changes apply at the next start."""
    new_cfg = settings.read(path)
    if isinstance(new_cfg, errors.Failure):
        daemon.log.failure("settings.refused", reason=new_cfg.reason)
        return
    daemon.log.event("settings.reread", changed=new_cfg != daemon.cfg)


def drain(daemon):
    """Drains the daemon: reports unready, then waits for accepted work.

    Returns when no request is in progress and no job is held, but not before
    `unready_s` have passed, as callers may still send requests until then:
    all the time, if most daemons of a zone are unready. Those that might take
    longer than until the exit are refused. Returns EXIT_MARGIN_S before
    SIGKILL at the latest.
    """
    cfg = daemon.cfg
    began_s = time.monotonic()
    deadline_s = began_s + cfg.stop_s - EXIT_MARGIN_S
    daemon.state.exit_s = deadline_s - SEND_MARGIN_S
    daemon.state.stop_began_s = began_s
    daemon.actor.tell(holdermessages.Stop())
    daemon.log.event("daemon.stopping")
    threading.Thread(target=daemon.membership.leave, daemon=True).start()
    pause = threading.Event()
    while time.monotonic() < deadline_s:
        pause.wait(TICK_INTERVAL_S)
        tick(daemon)
        can_stop = time.monotonic() - began_s > cfg.unready_s
        is_idle = daemon.callers.idle and daemon.engine_relay.is_idle
        if can_stop and is_idle and not daemon.state.held_jobs:
            break
    is_clean = close_listeners(daemon, deadline_s)
    daemon.log.event(
        "daemon.stopped",
        clean=is_clean,
        held_jobs=daemon.state.held_jobs,
    )
    daemon.log.close()


def close_listeners(daemon, deadline_s):
    """Stops accepting, and waits until what was read is answered.

    Returns whether that was so for all requests by `deadline_s`.
    """
    deadline_s = max(deadline_s, time.monotonic() + CLOSE_MIN_S)
    listeners = (daemon.callers, daemon.relay)
    return all([one.close(deadline_s) for one in listeners])
