"""The entry daemon's story: start, serve until told to stop, finish, exit."""

import os
import signal
import sys
import threading
import time

from samphirepost import errors
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import settings
from samphirepost_daemon.entry import wiring

EXIT_BAD_SETTINGS = 2
POLL_S = 0.05
# Time left before SIGKILL when the process exits whatever runs (s).
EXIT_MARGIN_S = 0.5


def main(path):
    """Reads the settings and runs the daemon until it is stopped."""
    cfg = settings.read(path)
    if isinstance(cfg, errors.Failure):
        print(f"samphirepostd: {cfg.reason}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    stop = threading.Event()
    reload = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    signal.signal(signal.SIGHUP, lambda *_: reload.set())
    daemon = wiring.Daemon(cfg)
    threading.excepthook = daemon.fault
    start(daemon)
    while not stop.wait(POLL_S):
        daemon.actor.tell(holdermessages.Tick())
        if reload.is_set():
            reload.clear()
            reread(daemon, path)
    finish(daemon)
    os._exit(0)


def start(daemon):
    """Starts every part; the daemon is ready once it knows the tables."""
    daemon.log.start()
    daemon.log.event("daemon.started", zone=daemon.cfg.zone)
    for watch in daemon.watches:
        watch.start()
    daemon.peers.start()
    daemon.relay.start()
    daemon.membership.start()
    daemon.readiness.start()
    daemon.callers.start()


def reread(daemon, path):
    """Logs settings that have changed; they hold from the next start."""
    found = settings.read(path)
    if isinstance(found, errors.Failure):
        daemon.log.failure("settings.refused", reason=found.reason)
        return
    daemon.log.event("settings.reread", changed=found != daemon.cfg)


def finish(daemon):
    """Turns unready, finishes what was read and returns."""
    cfg = daemon.cfg
    began_s = time.monotonic()
    daemon.state.stopping_s = began_s
    daemon.actor.tell(holdermessages.Stop())
    daemon.log.event("daemon.stopping")
    threading.Thread(target=daemon.membership.leave, daemon=True).start()
    last_s = began_s + cfg.stop_s - EXIT_MARGIN_S
    pause = threading.Event()
    while time.monotonic() < last_s:
        pause.wait(POLL_S)
        daemon.actor.tell(holdermessages.Tick())
        waited = time.monotonic() - began_s > cfg.unready_s
        if waited and daemon.callers.idle and not daemon.state.held_jobs:
            break
    daemon.log.event(
        "daemon.stopped",
        clean=daemon.callers.idle,
        held_jobs=daemon.state.held_jobs,
    )
    daemon.log.close()
