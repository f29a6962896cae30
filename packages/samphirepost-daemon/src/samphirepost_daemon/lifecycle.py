"""Lifecycle of samphirepostd: starts, serves until signalled, drains."""

import signal
import sys
import threading

import eliot

from samphirepost_daemon import ledgers
from samphirepost_daemon import members
from samphirepost_daemon import runnermessages
from samphirepost_daemon import wiring

DRAIN_POLL_S = 0.1
# Longest wait for each step of the drain, besides the request deadline.
DRAIN_MARGIN_S = 10.0
RELEASE_TIMEOUT_S = 10.0


def run(cfg):
    """Runs a daemon until SIGTERM or SIGINT; returns once it is drained."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    configure_log(cfg.log_path)
    daemon = wiring.Daemon(cfg)
    start(daemon)
    stop.wait()
    drain(daemon)


def configure_log(path):
    """Writes the log to the file at `path`; to stderr if it is empty."""
    if path:
        eliot.to_file(open(path, "a", encoding="utf-8"))
    else:
        eliot.to_file(sys.stderr)


def start(daemon):
    """Starts all components, the server for peers first."""
    eliot.log_message(message_type="daemon:starting", vm=daemon.cfg.id)
    daemon.peer_server.start()
    daemon.members.tell(members.SetServing(True))
    for thread in daemon.threads:
        thread.start()
    for listener in daemon.listeners:
        listener.start()


def drain(daemon):
    """Reports not ready, finishes requests and releases the partitions.

    Online requests in progress may run until their deadline.
    """
    eliot.log_message(message_type="daemon:draining", vm=daemon.cfg.id)
    daemon.readiness.draining = True
    daemon.members.tell(members.SetServing(False))
    pause = threading.Event()
    pause.wait(daemon.cfg.drain_notice_ms / 1000)
    daemon.runner.tell(runnermessages.Stop())
    deadline_s = daemon.cfg.limits.online_deadline_ms / 1000
    daemon.readiness.wait_until_idle(deadline_s + DRAIN_MARGIN_S)
    for listener in daemon.listeners:
        listener.flush()
    _wait_until(
        lambda: not daemon.runner.ask(runnermessages.HasClaims()),
        DRAIN_MARGIN_S,
    )
    _wait_until(lambda: not len(daemon.outbox), DRAIN_MARGIN_S)
    _wait_until(lambda: daemon.command_buffer.empty, DRAIN_MARGIN_S)
    release_partitions(daemon)
    eliot.log_message(message_type="daemon:stopped", vm=daemon.cfg.id)


def release_partitions(daemon):
    """Releases this daemon's partitions, within RELEASE_TIMEOUT_S."""
    daemon.placer.stopped = True
    for partition in daemon.ledger.ask(ledgers.GetOwnedPartitions()):
        daemon.ledger.tell(ledgers.ReleasePartition(partition))
    _wait_until(
        lambda: not daemon.ledger.ask(ledgers.GetOwnedPartitions()),
        RELEASE_TIMEOUT_S,
    )


def _wait_until(done, wait_s):
    pause = threading.Event()
    for _ in range(int(wait_s / DRAIN_POLL_S)):
        if done():
            return
        pause.wait(DRAIN_POLL_S)
