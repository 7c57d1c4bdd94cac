"""Three controllers and a gateway whose data folders get into trouble: what may pass is waited for, and nothing acknowledged is lost."""
import fcntl
import os
import resource
import shutil
import signal
import subprocess
import sys

import plain_site
from plain_site import wait_for

NETWORK = "127.0.73"
PATIENCE = 20
STANDARD_STREAMS = 3


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


def test_no_descriptors(site):
    """The descriptors of all controllers run out during a change of leader, whose vote has to be written."""
    pids = {name: site.processes[name].pid for name in site.controllers}
    limits = {name: resource.prlimit(pid, resource.RLIMIT_NOFILE) for name, pid in pids.items()}
    lengths = {name: len(site.log(name)) for name in site.controllers}
    for name, pid in pids.items():
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (STANDARD_STREAMS, limits[name][1]))
    leader = next(it for it in site.controllers if is_leading(site, it))
    site.signal(leader, signal.SIGSTOP)
    others = [it for it in site.controllers if it != leader]

    def has_logged(event):
        return any(f"event={event}" in site.log(it)[lengths[it]:] for it in others)

    wait_for(lambda: has_logged("disk-full") or site.exits(), PATIENCE)
    check(not site.exits(), "a controller ended for want of descriptors")
    check(has_logged("disk-full"), "no controller had to write")
    for name, pid in pids.items():
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits[name])
    site.signal(leader, signal.SIGCONT)
    check(wait_for(lambda: has_logged("disk-has-room"), PATIENCE), "the controllers write nothing more")
    check(wait_for(lambda: any(is_leading(site, it) for it in site.controllers), PATIENCE), "no controller leads")


def test_storage_failure(site):
    """A write fails for good: the process says so with its status, and the group goes on without it."""
    leader = next(it for it in site.controllers if is_leading(site, it))
    failing = next(it for it in site.controllers if it != leader)
    hard_state, saved = f"{site.data_folder(failing)}/hard-state", f"{site.folder}/hard-state"
    os.rename(hard_state, saved)
    os.mkdir(hard_state)
    site.signal(leader, signal.SIGKILL)
    site.processes[leader].wait()
    site.launch(leader)
    check(wait_for(lambda: has_ended(site, failing), PATIENCE), "a controller goes on without its storage")
    status = site.processes[failing].poll()
    os.rmdir(hard_state)
    os.rename(saved, hard_state)
    site.launch(failing)
    check(status == 1, f"after a failure of its storage a controller ended with status {status}")
    check(wait_for(lambda: is_voting(site, failing), PATIENCE), "the controller did not come back")


def test_full_disk_at_start(site):
    """A controller with a new disk starts while nothing can be written."""
    name = "c1"
    site.signal(name, signal.SIGKILL)
    site.processes[name].wait()
    shutil.rmtree(site.data_folder(name))
    length = len(site.log(name))
    # The limit concerns the log file as well, so that another process writes it.
    with open(site.log_path(name), "ab") as log:
        writer = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log)
    site.before = write_nothing
    site.launch(name, stdout=writer.stdin)
    site.before = None
    writer.stdin.close()
    wait_for(lambda: "event=storage-wait" in site.log(name)[length:] or has_ended(site, name), PATIENCE)
    check(not has_ended(site, name), "a controller ended at its start on a full disk")
    hard_limit = resource.prlimit(site.processes[name].pid, resource.RLIMIT_FSIZE)[1]
    resource.prlimit(site.processes[name].pid, resource.RLIMIT_FSIZE, (hard_limit, hard_limit))
    check(wait_for(lambda: is_voting(site, name), PATIENCE), "the controller did not come back once there was room")


def write_nothing():
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.getrlimit(resource.RLIMIT_FSIZE)[1]))


def is_leading(site, name):
    role = [it for it in site.log(name).splitlines() if "event=lead " in it or "event=lead-lost" in it or "event=start " in it]
    return bool(role) and "event=lead " in role[-1]


TESTS = [test_locked_folder, test_no_descriptors, test_storage_failure, test_full_disk_at_start]


def main():
    site = plain_site.Site(sys.argv[1], NETWORK, gateways=1)
    try:
        site.start()
        check(site.put_catalog(PATIENCE), "the group did not form")
        for test in [it for it in TESTS if not sys.argv[2:] or it.__name__ in sys.argv[2:]]:
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
