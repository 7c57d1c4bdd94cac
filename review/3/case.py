"""A queue's policy allows executors that the advice service is never asked about. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import lift  # noqa: E402

EXECUTORS = 86
ALLOWED = 4
ADDED_SHARE = 0.3
CALM_S = 3


def run(site, hasTrouble):
    site.adviceSettings = {"decideMs": 20, "intervalMs": 1, "validMs": 3000}
    site.start()
    if not site.putConfig(site.config(1)):
        raise RuntimeError("the config was not acknowledged")
    # The policy of the queue allows the executors of a kind that is a little smaller than the others.
    site.addExecutors(ALLOWED, "okara-meals", capacity={"cpu": 30000, "memMb": 65536, "gpu": 0}, labels=["b", "r1-1"])
    site.allowed = {it.id for it in site.executors}
    site.addExecutors(EXECUTORS - ALLOWED, "okara-meals")
    time.sleep(3)
    before = site.newId()
    if site.submit(before, 500, cpu=2300)[0] != 200 or not site.waitForState(before, "completed", 10):
        raise RuntimeError("a submission before the disruption was not completed")
    if hasTrouble:
        added = int(EXECUTORS * ADDED_SHARE)
        site.record.line(f"{added} empty executors are added")
        site.addExecutors(added, "okara-meals")
    time.sleep(4)
    submission = site.newId()
    if site.submit(submission, 500, cpu=2300)[0] != 200:
        raise RuntimeError("the submission was not accepted")
    time.sleep(lift.BOUNDS["finish_s"])
    idleSince = time.monotonic()
    for _ in range(CALM_S * 2 + 1):
        state = site.state(submission)
        if state in ("completed", "failed", "cancelled") or site.runsOf(submission):
            return None
        time.sleep(0.5)
    used = sum(len(it.runs) for it in site.executors)
    return (f"submission {submission} is shown as {state} and has had nothing running for {time.monotonic() - idleSince:.1f} s, {lift.BOUNDS['finish_s']} s "
            f"after it was accepted; {used} work units on all {len(site.executors)} executors; {ALLOWED} of them are allowed and empty; "
            f"{site.adviceCalls} calls for advice")


if __name__ == "__main__":
    lift.main(FOLDER, run, hasTrouble=os.environ.get("TROUBLE", "1") != "0")
