"""The answer to an executor's leave is lost, and what it runs is started elsewhere before it ends. See claim.txt."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import lift  # noqa: E402


def run(site, hasTrouble):
    if not site.becomeReady(3):
        raise RuntimeError("the site did not become ready")
    executor = site.executors[0]
    # Longer than the executor takes to shut down; their data lies in its rack, and the others have room for them, too.
    submissions = [site.newId() for _ in range(2)]
    for it in submissions:
        if site.submit(it, 9000, count=6, dataRack=executor.labels[-1])[0] != 200:
            raise RuntimeError("a submission was not accepted")
    if not site.waitUntil(lambda: len(executor.runs) == 12, 5):
        raise RuntimeError("the work units did not start on the executor")
    # It reports draining, serves on for drainMs after the ack, leaves and ends.
    executor.state = "draining"
    if not executor.beatOnce():
        raise RuntimeError("the draining report was not acknowledged")
    time.sleep(lift.BOUNDS["drainMs"] / 1000 + 0.2)
    path = f"/-/instances/{executor.id}"
    if hasTrouble:
        # The first answer is lost: the caller moves on to the next node after a second without a response.
        address = executor.controllers[executor.nextController % 3]
        status, _ = lift.call(address, "DELETE", path)
        site.record.line(f"executor {executor.id} sends its leave to {address}; the answer, {status}, is lost")
        executor.nextController += 1
        time.sleep(1)
    left = executor.callControl("DELETE", path, None, 3)
    executor.end()
    site.record.line(f"executor {executor.id} has left: acknowledged by {left}")
    time.sleep(14)
    twice = []
    for it in submissions:
        for task, runs in site.runsOf(it).items():
            found = lift.overlaps(runs)
            if found:
                first, second, seconds = found
                twice.append(f"{task} ran twice at the same time for {seconds:.3f} s: run {first[2]} on {first[0]}, run {second[2]} on {second[0]}")
    for it in twice:
        site.record.line(it)
    return f"{len(twice)} work units, {twice[0]}" if twice else None


if __name__ == "__main__":
    lift.main(FOLDER, run, hasTrouble=os.environ.get("TROUBLE", "1") != "0")
