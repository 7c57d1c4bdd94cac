"""Three controllers and a gateway whose data folders get into trouble: what may pass is waited for, and nothing acknowledged is lost."""
import fcntl
import os
import re
import resource
import shutil
import signal
import subprocess
import sys
import time

import plain_site
from plain_site import wait_for

NETWORK = "127.0.73"
PATIENCE = 20
STANDARD_STREAMS = 3
# A controller with a new identity votes only some time after it has caught up, which no log tells.
SETTLE_TIME = 4
log_starts = {}
log_writers = {}


def check(holds, what):
    if not holds:
        raise AssertionError(what)


def launch(site, name, **options):
    log_starts[name] = len(site.log(name))
    site.launch(name, **options)


def log_of(site, name):
    """Returns the log of the controller's current run."""
    return site.log(name)[log_starts.get(name, 0):]


def has_ended(site, name):
    return site.processes[name].poll() is not None


def test_locked_folder(site):
    """A controller starts while the process before it is still ending."""
    with open(f"{site.data_folder('c2')}/lock", "w") as lock:
        kill(site, "c2")
        fcntl.flock(lock, fcntl.LOCK_EX)
        launch(site, "c2")
        wait_for(lambda: "event=storage-wait" in log_of(site, "c2") or has_ended(site, "c2"), PATIENCE)
        check(not has_ended(site, "c2"), "a controller ended because its folder was locked for a moment")
    check(wait_for(lambda: is_voting(site, "c2"), PATIENCE), "the controller did not come back after the lock was released")


def is_voting(site, name):
    """Whether a controller takes part in elections: it is a follower or leader, and knows the group's leader."""
    lines = [it for it in log_of(site, name).splitlines() if "event=role" in it]
    return bool(lines) and 'leader="" ' not in lines[-1]


def test_no_descriptors(site):
    """The descriptors of all controllers run out during a change of leader, whose vote has to be written."""
    pids = {name: site.processes[name].pid for name in site.controllers}
    limits = {name: resource.prlimit(pid, resource.RLIMIT_NOFILE) for name, pid in pids.items()}
    lengths = {name: len(site.log(name)) for name in site.controllers}
    for name, pid in pids.items():
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (STANDARD_STREAMS, limits[name][1]))
    leader = find_leader(site)
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
    leader = find_leader(site)
    failing = next(it for it in site.controllers if it != leader)
    hard_state, saved = f"{site.data_folder(failing)}/hard-state", f"{site.folder}/hard-state"
    os.rename(hard_state, saved)
    os.mkdir(hard_state)
    kill(site, leader)
    launch(site, leader)
    check(wait_for(lambda: has_ended(site, failing), PATIENCE), "a controller goes on without its storage")
    status = site.processes[failing].poll()
    os.rmdir(hard_state)
    os.rename(saved, hard_state)
    launch(site, failing)
    check(status == 1, f"after a failure of its storage a controller ended with status {status}")
    check(wait_for(lambda: is_voting(site, failing), PATIENCE), "the controller did not come back")


def test_full_disk_at_start(site):
    """A controller with a new disk starts while nothing can be written."""
    name = "c1"
    kill(site, name)
    shutil.rmtree(site.data_folder(name))
    # The limit concerns the log file as well, so that another process writes it.
    with open(site.log_path(name), "ab") as log:
        writer = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log)
    site.before = write_nothing
    launch(site, name, stdout=writer.stdin)
    site.before = None
    writer.stdin.close()
    log_writers[name] = writer
    wait_for(lambda: "event=storage-wait" in log_of(site, name) or has_ended(site, name), PATIENCE)
    check(not has_ended(site, name), "a controller ended at its start on a full disk")
    hard_limit = resource.prlimit(site.processes[name].pid, resource.RLIMIT_FSIZE)[1]
    resource.prlimit(site.processes[name].pid, resource.RLIMIT_FSIZE, (hard_limit, hard_limit))
    check(wait_for(lambda: is_voting(site, name), PATIENCE), "the controller did not come back once there was room")
    time.sleep(SETTLE_TIME)


def find_leader(site):
    check(wait_for(lambda: any(is_leading(site, it) for it in site.controllers), PATIENCE), "no controller leads")
    return next(it for it in site.controllers if is_leading(site, it))


def cut_log(site, name):
    """Cuts the newest log segment of a controller to nothing."""
    folder = site.data_folder(name)
    os.truncate(f"{folder}/{max(it for it in os.listdir(folder) if it.startswith('log-'))}", 0)


def kill(site, name):
    site.signal(name, signal.SIGKILL)
    site.processes[name].wait()
    if name in log_writers:
        log_writers.pop(name).wait()


def test_damaged_folder(site):
    """One of three controllers has a damaged log: it comes back and votes, and what was accepted is there."""
    check(wait_for(lambda: site.submit("g0", "j1") in (200, 201, 202), PATIENCE), "no job was accepted")
    name = next(it for it in site.controllers if not is_leading(site, it))
    kill(site, name)
    cut_log(site, name)
    launch(site, name, is_first_start=True)
    wait_for(lambda: is_voting(site, name) or has_ended(site, name), PATIENCE)
    check(not has_ended(site, name), "a controller ended at its start on a damaged folder")
    check(is_voting(site, name) and "event=storage-set-aside" in log_of(site, name), "the controller did not come back")
    time.sleep(SETTLE_TIME)
    leader = find_leader(site)
    kill(site, leader)
    check(wait_for(lambda: any(is_leading(site, it) for it in site.controllers if it != leader), PATIENCE), "its vote did not elect a leader")
    check(wait_for(lambda: isinstance(site.job_state("g0", "j1"), str), PATIENCE), "an accepted job was lost")
    launch(site, leader)
    check(wait_for(lambda: is_voting(site, leader), PATIENCE), "the former leader did not come back")


def test_all_folders_damaged(site):
    """A majority has lost its log: nothing may be founded in its place."""
    for name in site.controllers:
        kill(site, name)
        cut_log(site, name)
    for name in site.controllers:
        launch(site, name, is_first_start=True)
    check(wait_for(lambda: all("event=storage-set-aside" in log_of(site, it) for it in site.controllers), PATIENCE), "a damaged log was not found")
    time.sleep(SETTLE_TIME)
    check(not any(it in site.exits() for it in site.controllers), "a controller ended")
    for name in site.controllers:
        check(not re.search("role=(pre-candidate|candidate|leader)", log_of(site, name)), "a controller without a log stood for election")
    check(site.job_state("g0", "j1") not in (200, 404), "a job was said not to exist")
    check(not isinstance(site.job_state("g0", "j1"), str), "a job was invented")


def write_nothing():
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.getrlimit(resource.RLIMIT_FSIZE)[1]))


def is_leading(site, name):
    role = [it for it in log_of(site, name).splitlines() if "event=lead " in it or "event=lead-lost" in it]
    return bool(role) and "event=lead " in role[-1]


TESTS = [test_locked_folder, test_no_descriptors, test_storage_failure, test_full_disk_at_start, test_damaged_folder, test_all_folders_damaged]


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
