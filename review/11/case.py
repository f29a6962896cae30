"""Items of a service without engines keep those of another one waiting."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig3  # noqa: E402

# Items of the jobs of both services; the sheet allows 24.
ITEMS_OF_SMALL = 20
ITEMS_OF_LARGE = 10
JOBS_OF_SMALL = 2
# From the start of one call to that of the next (s).
CALL_INTERVAL_S = 0.01
# The retention time of the routes, and for how long results are read then (s).
RETENTION_S = 60.0
RETENTION_READ_S = 4.0
# The bounds of the rule (s).
CALM_S = 5.0
NOTHING_FINISHED_S = 3.0


def play(rig):
    """Loses the one engine of `small`, then sends jobs for both services."""
    record = rig.record
    large = [rig.add_engine("large", f"large-{number}") for number in range(3)]
    small = rig.add_engine("small", "small-0")
    rig.configure(
        [
            rig3.batch_route("letters", "/letters/", "large"),
            rig3.batch_route("notes", "/notes/", "small"),
        ],
        ["large", "small"],
    )
    daemons = [rig.add_daemon() for _ in range(2)]
    rig.wait_ready()
    time.sleep(3.0)
    if rig3.has_trouble():
        small.crash()
        record("the engine of the service small is lost for good")
    time.sleep(rig3.ENTRY_EXPIRY_S + 1.0)
    small_jobs, large_job = submit(rig, daemons[0])
    jobs = [*small_jobs, large_job]
    end_s = time.monotonic() + rig3.FINISH_S
    finished_s = time.monotonic()
    while time.monotonic() < end_s:
        before = sum(len(one.results) for one in jobs)
        for number, job in enumerate(jobs):
            if not job.is_complete:
                job.read(daemons[number % 2])
        if sum(len(one.results) for one in jobs) > before:
            finished_s = time.monotonic()
        if all(one.is_complete for one in jobs):
            break
        time.sleep(0.4)
    code = judge(rig, large, large_job, finished_s)
    if code == rig3.BROKEN:
        record_retention(rig, large_job, daemons[1])
    return code


def record_retention(rig, job, daemon):
    """Records what becomes of the waiting job at its retention time."""
    job.read_until(daemon, job.accepted_s + RETENTION_S + RETENTION_READ_S)
    rig.record(
        f"later: {len(job.results)} items listed,"
        f" {len(rig.arrivals(job.item_ids))} requests of the job ever reached"
        " an engine"
    )


def submit(rig, daemon):
    """Submits all jobs at once; returns those of `small` and of `large`."""
    small_jobs = [
        rig3.Job(rig, f"5c41e09b52d6a3f{number}", "/notes/", ITEMS_OF_SMALL)
        for number in range(JOBS_OF_SMALL)
    ]
    large_job = rig3.Job(rig, "7c41e09b52d6a3f8", "/letters/", ITEMS_OF_LARGE)
    jobs = [*small_jobs, large_job]
    threads = [
        threading.Thread(target=job.submit, args=(daemon,)) for job in jobs
    ]
    for thread in threads:
        thread.start()
        time.sleep(CALL_INTERVAL_S)
    for thread in threads:
        thread.join()
    if not all(one.accepted_s for one in jobs):
        sys.exit(rig3.CANNOT_RUN)
    return small_jobs, large_job


def judge(rig, large, job, finished_s):
    """Applies the rule to the job of the service whose engines are well."""
    record = rig.record
    now_s = time.monotonic()
    arrived = rig.arrivals(job.unlisted)
    late = [one for _, one in arrived if now_s - one.at_s < CALM_S]
    busy = [
        one
        for engine in large
        for one in engine.arrivals
        if now_s - one.at_s < CALM_S
    ]
    idle_s = now_s - finished_s
    record(
        f"{len(job.unlisted)} items of the service large are not listed;"
        f" {len(arrived)} of them ever reached an engine, {len(late)} in the"
        f" last {CALM_S:g} s; its engines had {len(busy)} requests then;"
        f" the last item of any job was listed {idle_s:.1f} s ago"
    )
    is_broken = (
        job.unlisted and not late and not busy and idle_s > NOTHING_FINISHED_S
    )
    record("LOST is broken" if is_broken else "LOST held")
    return rig3.BROKEN if is_broken else rig3.HELD


if __name__ == "__main__":
    rig3.run(FOLDER, play)
