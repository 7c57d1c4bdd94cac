"""Three controllers and a gateway whose data folders get into trouble: what may pass is waited for, and nothing acknowledged is lost."""
import fcntl
import os
import signal
import sys

import plain_site
from plain_site import wait_for

NETWORK = "127.0.73"
PATIENCE = 20


def check(holds, what):
    if not holds:
        raise AssertionError(what)


def has_ended(site, name):
    return site.processes[name].poll() is not None


def test_locked_folder(site):
    """A controller starts while the process before it is still ending."""
    with open(f"{site.data_folder('c2')}/lock", "w") as lock:
        site.signal("c2", signal.SIGKILL)
        site.processes["c2"].wait()
        fcntl.flock(lock, fcntl.LOCK_EX)
        site.launch("c2")
        wait_for(lambda: "event=storage-wait" in site.log("c2") or has_ended(site, "c2"), PATIENCE)
        check(not has_ended(site, "c2"), "a controller ended because its folder was locked for a moment")
    check(wait_for(lambda: is_voting(site, "c2"), PATIENCE), "the controller did not come back after the lock was released")


def is_voting(site, name):
    """Whether a controller takes part in elections: it is a follower or leader, and knows the group's leader."""
    lines = [it for it in site.log(name).splitlines() if "event=role" in it or "event=start " in it]
    return bool(lines) and "event=role" in lines[-1] and "role=unknown" not in lines[-1] and 'leader="" ' not in lines[-1]


TESTS = [test_locked_folder]


def main():
    site = plain_site.Site(sys.argv[1], NETWORK, gateways=1)
    try:
        site.start()
        check(site.put_catalog(PATIENCE), "the group did not form")
        for test in TESTS:
            test(site)
            print(f"{test.__name__}: ok", flush=True)
    except AssertionError as error:
        for name in site.controllers:
            print(f"--- {name}\n{site.log(name)[-3000:]}")
        print(f"FAILED: {error}")
        return 1
    finally:
        site.end()
    return 0


if __name__ == "__main__":
    sys.exit(main())
