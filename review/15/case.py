"""Two submissions that can never be done take all executors of a pool out of use for 12 s at a time. A work unit that lasts and fails
meanwhile is not started again, although the pool is almost empty."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from site3 import config, has_trouble, most_live, play, route, service, wait_for

LASTING = "5c0e7a21d94b36f8"
FAILS_AFTER_S = 3
# From the rule: 6 s from the end of its last run, or 4 calm ones after the 3 s in which the submissions come, and then 3 s with nothing running.
LONGEST_S = 10


def scenario(site):
    routes = [route("r-lasting", "/bobo563/", "huvo11a", stretch=2.2, targetLatencyMs=2500), route("r-quote", "/puxa400/", "huvo11a")]
    site.start(config(1, routes, [service("huvo11a")]))
    for n in range(8):
        site.start_executor(f"e{n}", "huvo11a", labels=["a", f"r1-{n // 4}"])
    time.sleep(4)
    unit = f"{LASTING}.0.0.0"
    steps = [{"count": 2, "cpu": 2600, "memMb": 9700, "estRuntimeMs": 700, "longRunning": True, "antiAffinity": 1}]
    site.submit(f"/bobo563/{LASTING}", {"lasts": True, "ms": int(FAILS_AFTER_S * 1000), "first_fails": unit}, steps)
    begun = wait_for(lambda: [it for it in site.events("run") if it["task"] == unit], 5)[0]["t"]
    # 40 submissions of the other queue within 3 s, of which two can never be done: a share of 0.05.
    for n in range(38):
        time.sleep(max(0.0, begun + 0.055 * n - time.monotonic()))
        site.submit(f"/puxa400/{n:016x}", {"ms": 300}, [{"count": 6, "cpu": 1800, "memMb": 5100, "estRuntimeMs": 640}])
    time.sleep(max(0.0, begun + FAILS_AFTER_S - 0.5 - time.monotonic()))
    is_hopeless = has_trouble()
    for it in ("fe", "ff"):
        site.submit(f"/puxa400/{it:0>16}", {"ms": 30 if is_hopeless else 300, "fails": is_hopeless}, [{"count": 24, "cpu": 5300, "memMb": 5100, "estRuntimeMs": 640}])
    site.note("submitted", within_s=round(time.monotonic() - begun, 2))
    ended = wait_for(lambda: [it for it in site.events("end") if it["task"] == unit], 10)[0]["t"]
    is_restarted = lambda: [it for it in site.events("run") if it["task"] == unit and it["run"] > 1]
    again = wait_for(is_restarted, 30)
    waited = (again[0]["t"] if again else time.monotonic()) - ended
    # In these 3 s most of the room is free: 16 runs of the largest work units are a third of it.
    live = most_live(site.events(), ended + LONGEST_S - 3, ended + LONGEST_S) if waited > LONGEST_S else 0
    site.note("waited", seconds=round(waited, 2), most_runs_at_a_time=live)
    if waited <= LONGEST_S or live > 16:
        return None
    return f"LOST: work unit {unit} lasts, and was not started again for {waited:.1f} s after it had failed, while at most {live} runs went on in the pool of 8 executors"


play(15, scenario)
