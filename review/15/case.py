"""A sound submission is shown as failed after three ordinary crashes of executors, although no run of it has ended failed."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from site3 import config, has_trouble, play, route, service, wait_for

ID = "5c0e7a21d94b36f8"
UNIT = f"{ID}.0.0.0"
PATH = f"/puxa400/{ID}"


def scenario(site):
    site.start(config(1, [route("r-tyiikdr", "/puxa400/", "huvo11a")], [service("huvo11a")]))
    for n in range(8):
        site.start_executor(f"e{n}", "huvo11a", labels=["a", f"r1-{n // 4}"])
    time.sleep(4)
    site.submit(PATH, {"ms": 3000}, [{"count": 1, "cpu": 3800, "memMb": 11000, "estRuntimeMs": 2100}])
    for crash in range(3 if has_trouble() else 0):
        runs = wait_for(lambda: [it for it in site.events("run") if it["task"] == UNIT and it["run"] > crash], 15)
        if not runs:
            break
        # One of the pool's eight executors is down at a time, for 2 s.
        time.sleep(max(0.0, runs[0]["t"] + 0.3 - time.monotonic()))
        name = runs[0]["executor"].removeprefix("i-")
        site.crash_executor(name)
        time.sleep(2)
        site.start_executor(name, "huvo11a", labels=["a", site.executors[name]["settings"]["labels"][1]])
    state = wait_for(lambda: (lambda it: it if it in ("completed", "failed", "cancelled") else None)(site.state(PATH)), 40)
    failed = [it for it in site.events("end") if it["task"] == UNIT and it["how"] == "failed"]
    site.note("state", state=state, failed_runs=len(failed))
    return f"LOST: the submission is shown as {state}, and {len(failed)} runs of its only work unit have ended failed" if state == "failed" and len(failed) < 4 else None


play(15, scenario)
