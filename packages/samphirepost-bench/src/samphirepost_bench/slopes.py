"""Experiment that measures how the cost of each role grows with size.

Each cost is measured at three or more sizes. The results are written as
JSON, from which the capacity page is computed.
"""

import gc
import json
import os
import pathlib
import sys
import time
import tracemalloc

import msgspec

from samphirepost import codec
from samphirepost import jobs
from samphirepost import ledger
from samphirepost import ledgerstate
from samphirepost import membership
from samphirepost import messages
from samphirepost import ownedpartition
from samphirepost import records
from samphirepost import tables
from samphirepost import targetchoice
from samphirepost import targetmessages
from samphirepost_bench import command
from samphirepost_bench import fleet as fleet_module

MEMBER_COUNTS = (12, 48, 109, 300, 1200)
TARGET_COUNTS = (5, 24, 500, 12_000)
ENTRY_COUNTS = (1_000, 10_000, 50_000)
ITEM_COUNTS = (100, 3_570, 130_000)
ROUTE_COUNTS = (10, 100, 1_000)
DAEMON_COUNTS = (6, 12, 24)
IDLE_RUN_S = 10.0
CPU_TIME_MIN_S = 0.2
PARTITIONS = 22
RESULTS_PER_S = 100
ANSWER_BYTES = 1_200
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
START_INSTANT = ledger.Instant(0.0, 0.0)


def seconds_per_call(call):
    """Returns the mean processor time of a call (s), over many calls."""
    count, cpu_s = 0, 0.0
    while cpu_s < CPU_TIME_MIN_S:
        started_s = time.process_time()
        call()
        cpu_s += time.process_time() - started_s
        count += 1
    return cpu_s / count


def make_member(number):
    """Returns a member of a membership view."""
    return messages.Member(
        name=f"vm-{number}.0123abcd",
        vm=f"vm-{number}",
        zone=f"zone-{number % 11}",
        peer=f"tcp://10.0.{number // 250}.{number % 250}:7004",
        revision=12_000,
        serving=True,
    )


def make_view(count):
    """Returns a view of `count` members in 11 zones."""
    owners = {
        n: messages.PartitionOwner(f"vm-{n}.0123abcd", 7) for n in range(22)
    }
    coordinators = {f"zone-{n}": f"tcp://10.0.0.{n}:7004" for n in range(11)}
    return membership.make_view(
        [make_member(n) for n in range(count)],
        owners,
        {},
        coordinators,
        (),
        12_000,
    )


def membership_slopes():
    """Returns size, build and decode time of views, by members."""
    found = []
    for count in MEMBER_COUNTS:
        data = codec.pack(make_view(count))
        found.append(
            {
                "members": count,
                "view_bytes": len(data),
                "make_ms": 1e3
                * seconds_per_call(lambda n=count: make_view(n)),
                "read_ms": 1e3
                * seconds_per_call(
                    lambda d=data: codec.unpack(d, messages.View)
                ),
            }
        )
    heartbeat = messages.Heartbeat(make_member(0), "0123456789abcdef")
    reply = messages.HeartbeatReply(0.1, 12_000, None)
    sizes = {
        "heartbeat_bytes": len(codec.pack(heartbeat)),
        "reply_bytes": len(codec.pack(reply)),
    }
    return {"views": found, **sizes}


def choice_slopes():
    """Returns the time to choose a target, by number of targets."""
    found = []
    for count in TARGET_COUNTS:
        names = [f"engine-{n}" for n in range(count)]
        states = {name: targetchoice.TargetState() for name in names}
        for state in states.values():
            state.record_report(targetmessages.LoadReport("e", running=9), 0.0)

        def choose(names=names, states=states):
            usable = targetchoice.candidates(names, states, (), 1.0)
            return targetchoice.choose_target(usable, "prefix")

        found.append(
            {"targets": count, "choose_ms": 1e3 * seconds_per_call(choose)}
        )
    return found


def _allocate(make):
    """Returns the result of `make` and the bytes that stay allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return made, allocated_bytes


def _make_finish(number):
    result = records.Result(200, "application/json", b"x" * ANSWER_BYTES)
    return messages.FinishAttempt(
        f"req-000-{number:032x}",
        "nurseries",
        f"{number:064x}",
        f"{number:032x}",
        True,
        result,
    )


def ledger_slopes():
    """Returns a partition owner's time, bytes and memory per result."""
    found = []
    for count in ENTRY_COUNTS:
        segments = []

        def fill(count=count, segments=segments):
            state = ledgerstate.State(5.0, 3)
            for start in range(0, count, 500):
                appended = []
                for number in range(start, min(count, start + 500)):
                    decision = ledger.decide(
                        _make_finish(number), state, START_INSTANT, bool
                    )
                    reference = records.Reference(f"s{start}", len(appended))
                    for record in decision.appended:
                        ledger.apply(record, state, reference, START_INSTANT)
                        appended.append(record)
                segments.append(codec.pack(records.Segment(0, 1, appended)))
            return state

        started_s = time.process_time()
        fill()
        cpu_s = time.process_time() - started_s
        size = sum(len(s) for s in segments) / count
        segments.clear()
        state, allocated_bytes = _allocate(fill)
        found.append(
            {
                "entries": count,
                "decide_us": 1e6 * cpu_s / count,
                "segment_bytes": size,
                "state_bytes": (
                    allocated_bytes - sum(len(s) for s in segments)
                )
                / count,
                "snapshot_ms": 1e3
                * seconds_per_call(
                    lambda s=state: codec.pack(ledgerstate.save(s))
                ),
                "replay_ms": 1e3 * _replay_s(segments),
            }
        )
    return found


def _replay_s(segments):
    started_s = time.process_time()
    state = ledgerstate.State(5.0, 3)
    for data in segments:
        segment = codec.unpack(data, records.Segment)
        for position, record in enumerate(segment.records):
            reference = records.Reference("s", position)
            ledger.apply(record, state, reference, START_INSTANT)
    return time.process_time() - started_s


def accepted_job(total):
    """Returns the record of an accepted job of `total` items."""
    names = tuple(f"uploads/x-{n}" for n in range(total // 1000 + 1))
    return records.JobAccepted(
        "job-000-x", "c", "d", "r", True, total, 1000, names, 9e9, 0.0
    )


def job_slopes():
    """Returns a partition owner's memory and time per item, by job size."""
    found = []
    for total in ITEM_COUNTS:
        job, allocated_bytes = _allocate(
            lambda t=total: jobs.Job(accepted_job(t))
        )
        state = ledgerstate.State(5.0, 3)
        state.jobs["job-000-x"] = job
        started_s = time.process_time()
        _finish_all_items(state, total)
        cpu_s = time.process_time() - started_s
        found.append(
            {
                "items": total,
                "job_bytes_per_item": allocated_bytes / total,
                "item_us": 1e6 * cpu_s / total,
            }
        )
    return found


def _finish_all_items(state, total):
    done = 0
    while done < total:
        pull = messages.PullItems(0, "vm", f"c{done}", ("r",), 32, True)
        for grant in _apply(state, pull).grants:
            results = tuple(
                messages.ItemResult(item, int(jobs.ItemState.DONE), b"{}")
                for item in grant.items
            )
            finish = messages.FinishItems("job-000-x", grant.claim, results)
            _apply(state, finish)
            done += len(results)


def _apply(state, request):
    decision = ledger.decide(request, state, START_INSTANT, bool)
    reference = records.Reference("s", 0)
    for record in decision.appended:
        ledger.apply(record, state, reference, START_INSTANT)
    return decision.reply


def table_slopes():
    """Returns size, decode, check and compare time of tables, by routes."""
    found = []
    for count in ROUTE_COUNTS:
        made = _make_tables(count)
        data = codec.pack(made)
        other = msgspec.structs.replace(made, revision=2)
        row = msgspec.structs.replace(
            made.routes["route-0"], callers=("caller-1",)
        )
        edited = msgspec.structs.replace(
            other, routes={**made.routes, "route-0": row}
        )
        step = tables.Step(1, 2, tables.changes(made, edited))
        reply = messages.TablesReply(None, (step,))
        found.append(
            {
                "routes": count,
                "bytes": len(data),
                "step_bytes": len(codec.pack(reply)),
                "read_ms": 1e3
                * seconds_per_call(
                    lambda d=data: codec.unpack(d, tables.Tables)
                ),
                "check_ms": 1e3
                * seconds_per_call(lambda m=made: tables.check(m)),
                "compare_ms": 1e3
                * seconds_per_call(
                    lambda a=made, b=other: tables.changes(a, b)
                ),
            }
        )
    return found


def _make_tables(count):
    targets = tuple(
        tables.Target(f"engine-{n}", f"http://10.0.0.1:{n}", "zone-1")
        for n in range(12)
    )
    pools = {f"pool-{n}": tables.Pool(targets) for n in range(11)}
    callers = {f"caller-{n}": tables.Caller("0" * 64) for n in range(count)}
    routes = {
        f"route-{n}": tables.Route(f"pool-{n % 11}", (f"caller-{n}",))
        for n in range(count)
    }
    return tables.Tables(1, callers, routes, pools)


class CommitCounter:
    """Owner of a partition that counts the row writes of its commits."""

    def __init__(self):
        self.writes = 0
        self.partition = ownedpartition.OwnedPartition(
            0,
            records.PartitionRow("vm", 1),
            1,
            ledgerstate.State(5.0, 3),
            ownedpartition.new_lease(self, 0.0),
            ownedpartition.Limits(20_000, 1 << 30),
            lambda: "write",
        )

    lease_ms = 1e12

    def commit(self):
        """Commits the open segment, if it has records."""
        if self.partition.has_open_records:
            sealed = self.partition.seal()
            self.partition.record_commit(sealed.row, 1, 0.0, START_INSTANT)
            self.writes += 1


def write_slopes(interval_s=0.05, total=1_000):
    """Returns row writes for `total` results, by results per second.

    Compares group commits every `interval_s` with one commit per result.
    """
    found = []
    # 5,455: the results/s of one owner at the planned size (capacity.py).
    for rate in (10, RESULTS_PER_S, 1_000, 5_455):
        grouped, single = CommitCounter(), CommitCounter()
        next_commit_s = 0.0
        for number in range(total):
            at_s = number / rate
            if at_s >= next_commit_s:
                grouped.commit()
                next_commit_s = at_s + interval_s
            grouped.partition.handle(
                _make_finish(number), number, START_INSTANT, bool
            )
            single.partition.handle(
                _make_finish(number), number, START_INSTANT, bool
            )
            single.commit()
        grouped.commit()
        found.append(
            {
                "results_per_s": rate,
                "grouped_writes": grouped.writes,
                "single_writes": single.writes,
            }
        )
    return found


def cpu_time_s(process):
    """Returns the processor time that a process has used (s)."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def rss_mb(process):
    """Returns the resident memory of a process (MiB)."""
    path = pathlib.Path(f"/proc/{process.popen.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def idle_slopes():
    """Returns the cost of idle daemons in one zone, by their number."""
    found = []
    for count in DAEMON_COUNTS:
        with fleet_module.Fleet() as fleet:
            fleet.start_platform()
            for index in range(count):
                fleet.start_daemon(
                    f"vm-{index}", "zone-1", wait=False, online_threads=4
                )
            for daemon in fleet.daemons:
                fleet.wait_ready(daemon)
            time.sleep(IDLE_RUN_S)
            found.append(_measure_idle(fleet, count))
    return found


def _measure_idle(fleet, count):
    """Returns the figures of idle daemons over IDLE_RUN_S.

    The daemon that uses the most processor time is taken as the coordinator;
    the median of all is taken as a member's figure.
    """
    before = [cpu_time_s(daemon) for daemon in fleet.daemons]
    table_before = fleet.counts()["table"]
    time.sleep(IDLE_RUN_S)
    cpu_percents = [
        100 * (cpu_time_s(daemon) - before_s) / IDLE_RUN_S
        for daemon, before_s in zip(fleet.daemons, before, strict=True)
    ]
    table_after = fleet.counts()["table"]
    cpu_percents.sort()
    return {
        "daemons": count,
        "member_cpu_percent": cpu_percents[len(cpu_percents) // 2],
        "coordinator_cpu_percent": cpu_percents[-1],
        "rss_mb": sum(rss_mb(d) for d in fleet.daemons) / count,
        "table_reads_per_s": (table_after["reads"] - table_before["reads"])
        / IDLE_RUN_S,
        "table_writes_per_s": (table_after["writes"] - table_before["writes"])
        / IDLE_RUN_S,
    }


def run(folder, quick):
    """Measures all slopes; writes JSON and docs/SLOPES.md; returns 0.

    With `quick`, the idle daemons' figures of the last run are reused.
    """
    result = {
        "command": command.line(),
        "python": sys.version.split()[0],
        "cores": os.cpu_count(),
        "membership": membership_slopes(),
        "choice": choice_slopes(),
        "ledger": ledger_slopes(),
        "jobs": job_slopes(),
        "tables": table_slopes(),
        "writes": write_slopes(),
    }
    path = pathlib.Path(folder) / "slopes.json"
    if quick and path.exists():
        result["idle"] = json.loads(path.read_text())["idle"]
    else:
        result["idle"] = idle_slopes()
    path.write_text(json.dumps(result, indent=1), encoding="utf-8")
    print(json.dumps(result, indent=1))
    from samphirepost_bench import capacity

    capacity.write_page(path, pathlib.Path("docs/SLOPES.md"))
    return 0
