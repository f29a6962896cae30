"""The only engine of one service is lost; another service is sound."""

import pathlib
import sys
import time

import rig2

DAEMONS = 3
LETTERS, EULOGIES = "/letters/", "/eulogy/"
# `finishS` of the users' sheets.
FINISH_S = 18.0
CALM_S = 5.0
ITEMS = 20


def main():
    with rig2.Case(pathlib.Path(__file__).parent) as case:
        case.configure(
            [
                rig2.batch_route(
                    "letters", LETTERS, "barua", completionTargetMs=24000
                ),
                rig2.batch_route(
                    "eulogy", EULOGIES, "kalamu", completionTargetMs=30000
                ),
            ],
            [rig2.service("barua"), rig2.service("kalamu")],
        )
        lost = case.add_engine("i-barua", "barua", events=133)
        for number in range(4):
            case.add_engine(f"i-kalamu-{number}", "kalamu", events=133)
        for number in range(DAEMONS):
            case.add_daemon(f"front-{number}")
        case.wait_ready()
        if rig2.IS_TROUBLED:
            case.record.say("the engine of barua crashes for good")
            lost.crash()
            lost.expire()
            time.sleep(3.0)
        for number, daemon in enumerate(case.daemons):
            job = f"letters{number}"
            body = rig2.job_body(LETTERS, job, ITEMS)
            status = rig2.submit(case, daemon.front, LETTERS, job, body)
            job = f"eulogy{number}"
            body = rig2.job_body(EULOGIES, job, 10)
            status = rig2.submit(case, daemon.front, EULOGIES, job, body)
            if status != 202:
                return rig2.EXIT_NOT_RUN
        end_s = time.monotonic() + FINISH_S
        time.sleep(FINISH_S)
        return judge(case, end_s)


def judge(case, end_s):
    sound = [one for one in case.engines if one.service == "kalamu"]
    late = [
        one
        for engine in sound
        for one in engine.arrivals
        if end_s - CALM_S < one["at_s"] < end_s
    ]
    if late:
        case.record.say("an engine had an item in the last 5 s")
    missing = 0
    for number in range(DAEMONS):
        found = rig2.results(case, f"eulogy{number}")
        if found is None:
            return rig2.EXIT_NOT_RUN
        case.record.say(f"eulogy{number}: {len(found)} of 10 items listed")
        missing += 10 - len(found)
    reached = sum(len(engine.arrivals) for engine in sound)
    case.record.say(
        f"{reached} requests reached the engines of kalamu; {missing} items"
        " are neither done nor given up"
    )
    return rig2.EXIT_BROKEN if missing and not late else rig2.EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
