"""An engine in trouble answers one item with bytes without end."""

import pathlib
import sys
import threading
import time

import rig2

PREFIX = "/eulogy/"
DAEMONS = 3
# The longest duration of `garble` in the site file; it names three in a
# hundred answers at most. What the engine stumbles on is in the item, so that
# the same item meets it again.
TROUBLE_S = 5.0
SPOILT_ITEM = "job0001-3"
JOBS = 24
EVENTS = 20
ITEMS = 10
FINISH_S = 18.0
MAX_ATTEMPTS = 3
PIECE = b"x" * 16_384


class Trouble:
    """Spoils some answers while it lasts."""

    def __init__(self):
        self.end_s = 0.0
        self.spoilt = []
        self.answers = 0

    def spoil(self, engine, handler, arrival):
        """Answers in place of the engine; returns whether it did."""
        if time.monotonic() > self.end_s:
            return False
        self.answers += 1
        if arrival["id"] != SPOILT_ITEM:
            return False
        self.spoilt.append((arrival["id"], engine.name))
        engine.record.write(
            f"engine {engine.name} answers {arrival['id']} without end"
        )
        try:
            handler.send_head()
            handler.send_chunk(b"id: 1\ndata: ")
            while True:
                handler.send_chunk(PIECE)
        except OSError:
            # The caller has closed the connection.
            return True


def send_jobs(case, numbers):
    for number in numbers:
        job = f"job{number:04d}"
        body = rig2.job_body(PREFIX, job, ITEMS)
        daemon = case.daemons[number % DAEMONS]
        while rig2.submit(case, daemon.front, PREFIX, job, body) != 202:
            time.sleep(0.5)


def main():
    with rig2.Case(pathlib.Path(__file__).parent) as case:
        case.configure(
            [
                rig2.batch_route(
                    "eulogy", PREFIX, "kalamu", maxAttempts=MAX_ATTEMPTS
                )
            ],
            [rig2.service("kalamu")],
        )
        trouble = Trouble()
        case.add_engine(
            "i-0", "kalamu", events=EVENTS, on_request=trouble.spoil
        )
        for number in range(DAEMONS):
            case.add_daemon(f"front-{number}")
        case.wait_ready()
        if rig2.IS_TROUBLED:
            trouble.end_s = time.monotonic() + TROUBLE_S
        threads = [
            threading.Thread(target=send_jobs, args=(case, range(n, JOBS, 4)))
            for n in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(FINISH_S)
        return judge(case, trouble)


def judge(case, trouble):
    arrivals = [one for e in case.engines for one in e.arrivals]
    case.record.say(
        f"{len(arrivals)} requests at the engine, {trouble.answers} during the"
        f" trouble, {len(trouble.spoilt)} spoilt; none was answered with 500"
        " or 422"
    )
    broken = 0
    for number in range(JOBS):
        job = f"job{number:04d}"
        found = rig2.results(case, job)
        if found is None:
            case.record.say(f"job {job} cannot be read")
            return rig2.EXIT_NOT_RUN
        for result in found:
            if result["state"] == "dead_letter":
                broken += 1
                at = [e for one, e in trouble.spoilt if one == result["id"]]
                case.record.say(
                    f"{result['id']} is a dead letter; answered without end"
                    f" by {at}"
                )
    case.record.say(f"{broken} items were given up before they may be")
    return rig2.EXIT_BROKEN if broken else rig2.EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
