"""A machine's connections are reset once, and a whole job is lost."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig3  # noqa: E402

from samphirepost_bench import streamengine  # noqa: E402

ENGINES = 8
ITEMS = 6
# Kept connections of clients to the machine, without a request. Beside them it
# has five to the store.
IDLE_CONNECTIONS = 4
STORE_FEEDS = 5
# A reset takes this share of the machine's connections at most.
RESET_SHARE_MAX = 0.5
# Time of an engine until its first event (s).
PREFILL_S = 0.15
# From the first job to the last call of a client (s).
TRAFFIC_S = 5.0
# The retention time of the route, and for how long results are read then (s).
RETENTION_S = 60.0
RETENTION_READ_S = 4.0
# The bounds of the rule (s).
CALM_S = 5.0
NOTHING_FINISHED_S = 3.0
FAILED_S = 20.0


class PrefillingHandler(streamengine.Handler):
    """Reads the prompt for a while before the answer begins."""

    def send_stream(self, arrival, fault):
        """Answers with the stream after PREFILL_S."""
        threading.Event().wait(PREFILL_S)
        return super().send_stream(arrival, fault)


def play(rig):
    """Resets the connections on which a job's items have just begun."""
    proxies = [add_engine(rig, f"engine-{n}") for n in range(ENGINES)]
    rig.configure(
        [rig3.batch_route("letters", "/letters/", "drafts")], ["drafts"]
    )
    daemons = [rig.add_daemon() for _ in range(2)]
    rig.wait_ready()
    address = (daemons[0].host, daemons[0].ports["front"])
    idle = [socket.create_connection(address) for _ in range(IDLE_CONNECTIONS)]
    time.sleep(3.0)
    job = rig3.Job(rig, "7c41e09b52d6a3f8", "/letters/", ITEMS)
    if job.submit(daemons[0]) != 202:
        return rig3.CANNOT_RUN
    began_s = time.monotonic()
    reset_s = reset_connections(rig, job, proxies)
    if reset_s is None:
        return rig3.CANNOT_RUN
    time.sleep(max(0.0, began_s + TRAFFIC_S - time.monotonic()))
    for one in idle:
        one.close()
    last_job = rig3.Job(rig, "5c41e09b52d6a3f9", "/letters/", 2)
    last_job.shared_part = "5d07b8:100"
    if last_job.submit(daemons[1]) != 202:
        return rig3.CANNOT_RUN
    finished_s = read_results(job, last_job, daemons[1])
    code = judge(rig, job, last_job, reset_s, finished_s)
    if code == rig3.BROKEN:
        job.read_until(
            daemons[1], job.accepted_s + RETENTION_S + RETENTION_READ_S
        )
        rig.record(f"later: {len(job.results)} items listed")
    return code


def add_engine(rig, name):
    """Starts an engine that daemons reach through the proxy it returns."""
    engine = rig.add_engine("drafts", name)
    engine.server.RequestHandlerClass = PrefillingHandler
    proxy = rig3.ResettingProxy(engine.server.address)
    engine.address = proxy.address
    engine.write_entry()
    return proxy


def reset_connections(rig, job, proxies):
    """Resets the job's connections to engines, once it has them all.

    Returns when, or None if not all its items began.
    """
    end_s = time.monotonic() + 2.0
    found = []
    while len(found) < ITEMS and time.monotonic() < end_s:
        time.sleep(0.002)
        found = rig.arrivals(job.item_ids)
    engines = sorted({engine.name for engine, _ in found})
    rig.record(f"{len(found)} items are at {engines}")
    if len(found) < ITEMS:
        return None
    if rig3.has_trouble():
        count = sum(proxy.reset() for proxy in proxies)
        share = count / (count + IDLE_CONNECTIONS + STORE_FEEDS)
        rig.record(
            f"{count} connections of front-0 are reset, {share:.2f} of its own"
        )
        if share > RESET_SHARE_MAX:
            return None
    return time.monotonic()


def read_results(job, last_job, daemon):
    """Reads for finishS; returns when the last item was listed."""
    finished_s = time.monotonic()
    end_s = finished_s + rig3.FINISH_S
    while time.monotonic() < end_s:
        before = len(job.results) + len(last_job.results)
        for one in (job, last_job):
            if not one.is_complete:
                one.read(daemon)
        if len(job.results) + len(last_job.results) > before:
            finished_s = time.monotonic()
        if job.is_complete and last_job.is_complete:
            break
        time.sleep(0.4)
    return finished_s


def judge(rig, job, last_job, reset_s, finished_s):
    """Applies the rule to the job's items."""
    now_s = time.monotonic()
    again = [
        one
        for _, one in rig.arrivals(job.unlisted)
        if one.at_s > reset_s + rig3.HEARTBEAT_S
    ]
    late = [
        one
        for engine in rig.engines
        for one in engine.arrivals
        if now_s - one.at_s < CALM_S
    ]
    idle_s = now_s - finished_s
    rig.record(
        f"{len(job.unlisted)} of {ITEMS} items are not listed; the reset was"
        f" {now_s - reset_s:.1f} s ago, no engine has crashed; {len(again)} of"
        f" these items reached an engine later, and {len(late)} requests any"
        f" engine in the last {CALM_S:g} s; the last item was listed"
        f" {idle_s:.1f} s ago; the other job has {len(last_job.results)} of 2"
    )
    is_broken = (
        job.unlisted
        and not late
        and idle_s > NOTHING_FINISHED_S
        and now_s - reset_s > FAILED_S
    )
    rig.record("LOST is broken" if is_broken else "LOST held")
    return rig3.BROKEN if is_broken else rig3.HELD


if __name__ == "__main__":
    rig3.run(FOLDER, play)
