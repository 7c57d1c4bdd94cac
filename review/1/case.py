"""A ping of another writer names no address. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import lift  # noqa: E402

CALM_S = 3


def run(site, hasTrouble):
    if not site.becomeReady(6):
        raise RuntimeError("the site did not become ready")
    lasting = site.newId()
    if site.submit(lasting, 20000, count=4)[0] != 200:
        raise RuntimeError("the first submission was not accepted")
    if hasTrouble:
        ping = {"service": "office-desk", "addr": "[::1]:8080", "zone": "lahore-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": ["a", "r1-1"], "machine": "m-desk", "born": int(time.time() * 1000),
                "clockMs": 1, "seq": 1}
        status, _ = lift.call(site.controlAddresses[0], "PUT", "/-/instances/i-desk", ping)
        site.record.line(f"another writer sends one ping of the service office-desk at [::1]:8080, which no config names: {status}")
    time.sleep(lift.BOUNDS["finish_s"])
    # The rule LOST: asked for then, the submission has nothing running for 3 s, though the executors are all but empty.
    calmSince = time.monotonic()
    hasRun = False
    while time.monotonic() - calmSince < CALM_S:
        hasRun = hasRun or any(it[4] is None for runs in site.runsOf(lasting).values() for it in runs)
        time.sleep(0.05)
    answered = site.state(lasting)
    with site.lock:
        exits = list(site.exits)
    ends = {name: sum(1 for it in exits if it[0] == name) for name, _ in exits}
    site.record.line(f"the accepted submission is answered with {answered}; processes that ended by themselves: {ends}")
    found = []
    if not hasRun and answered != "completed":
        found.append(f"the accepted submission, answered with {answered}, has had nothing running for {CALM_S} s")
    if sum(1 for it in ends.values() if it >= 3) * 2 >= len(site.controllerIps):
        found.append(f"processes ended by themselves, with no impairment: {ends}")
    return "; ".join(found) or None


if __name__ == "__main__":
    lift.main(FOLDER, run, hasTrouble=os.environ.get("TROUBLE", "1") != "0")
