"""Runs a small site of plain processes on hosts that lack something, a case per condition of the host."""
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile

from plain_site import CLIENT_PORT, CONTROL_PORT, LINK_PORT, METRICS_PORT, READY_PORT, Site, call, wait_for

NET = "127.0.72"
START_SECONDS = 20
FILE_BYTES = 1 << 20


@contextlib.contextmanager
def small_site(build, **conditions):
    """One controller and one gateway, not started yet."""
    site = Site(build, NET, 1, 1, **conditions)
    try:
        yield site
    finally:
        site.end()


def serves(site, job):
    """Returns what is missing for the site to serve: None if it accepts a job and tells its state."""
    if not site.put_catalog(START_SECONDS):
        return f"no configuration was acknowledged; exits: {site.exits()}"
    if not wait_for(site.is_ready, START_SECONDS):
        return f"the gateways are not ready; exits: {site.exits()}"
    if not wait_for(lambda: site.submit("g0", job) == 200, START_SECONDS):
        return f"no job was accepted; exits: {site.exits()}"
    if not isinstance(site.job_state("g0", job), str):
        return "the state of an accepted job cannot be read"
    return f"processes ended: {site.exits()}" if site.exits() else None


def metric(site, name, metric_name):
    status, body = call(site.ips[name], METRICS_PORT, "GET", "/metrics")
    lines = body.decode().splitlines() if status == 200 else []
    return next((float(it.split()[1]) for it in lines if it.startswith(metric_name + " ")), None)


def limit_file_size():
    resource.setrlimit(resource.RLIMIT_FSIZE, (FILE_BYTES, FILE_BYTES))


def log_file_at_its_largest_size(build):
    """A log file that can grow no more ends no process, at the start or later."""
    with small_site(build, before=limit_file_size) as site:
        for name in site.controllers + site.gateways:
            with open(site.log_path(name), "wb") as log:
                log.write(b"x" * FILE_BYTES)
        site.start()
        fault = serves(site, "full-log")
        if not fault and not metric(site, "g0", "vanillalift_gateway_log_lines_dropped_total"):
            fault = "the dropped log lines are not counted"
        return fault


def errors_before_the_settings(build):
    """An error that cannot be written because of the largest file size, or because nobody reads, is no signal's end."""
    for program in ("vanillalift-controller", "vanillalift-gateway"):
        command = [f"{build}/bin/{program}", "--settings", "/does-not-exist", "--check"]
        with tempfile.TemporaryFile() as log:
            log.write(b"x" * FILE_BYTES)
            log.flush()
            status = subprocess.run(command, stdout=log, stderr=log, preexec_fn=limit_file_size, check=False).returncode
        if status != 2:
            return f"{program} ends with {status} when its log is full"
        read_end, write_end = os.pipe()
        os.close(read_end)
        status = subprocess.run(command, stdout=write_end, stderr=write_end, check=False).returncode
        os.close(write_end)
        if status != 2:
            return f"{program} ends with {status} when nobody reads its log"
    return None


def start_held(site, name, number=None, text=None):
    """Starts a process, and sends it a signal while it waits for the contents of its settings file.
    text: what it reads there at first instead of the settings."""
    path = f"{site.folder}/{name}.json"

    def replace_by_fifo():
        os.remove(path)
        os.mkfifo(path)

    site.before = replace_by_fifo
    site.launch(name, True)
    writers = []

    def has_reader():
        with contextlib.suppress(OSError):
            writers.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
        return bool(writers)

    if not wait_for(has_reader, START_SECONDS):
        return
    settings = json.dumps(site.settings(name, True))
    with open(path + ".new", "w") as file:
        file.write(settings)
    os.replace(path + ".new", path)
    if number:
        site.signal(name, number)
    with contextlib.suppress(OSError):
        os.write(writers[0], (settings if text is None else text).encode())
    os.close(writers[0])


def wait_for_end(site, name):
    return wait_for(lambda: name in site.exits(), START_SECONDS) and site.exits()[name]


def stop_all(site):
    """Returns what is wrong with the ends after SIGTERM, or None."""
    for name in site.processes:
        site.signal(name, signal.SIGTERM)
    statuses = {name: wait_for_end(site, name) for name in site.processes}
    return None if all(it == 0 and it is not False for it in statuses.values()) else f"ends after SIGTERM: {statuses}"


def reload_during_the_start(build):
    """SIGHUP before the handlers are installed is a reload, not the end."""
    with small_site(build) as site:
        for name in site.controllers + site.gateways:
            start_held(site, name, signal.SIGHUP)
        fault = serves(site, "early-reload")
        if not fault and not wait_for(lambda: all("event=reload valid=1" in site.log(it) for it in site.processes), START_SECONDS):
            fault = "no reload was logged"
        return fault


def stop_during_the_start(build):
    """SIGTERM before the handlers are installed is an orderly stop with status 0."""
    with small_site(build) as site:
        for name in site.controllers + site.gateways:
            start_held(site, name, signal.SIGTERM)
        statuses = {name: wait_for_end(site, name) for name in site.processes}
        return None if all(it == 0 and it is not False for it in statuses.values()) else f"ends: {statuses}"


def block_and_ignore_signals():
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())


def signals_blocked_by_the_parent(build):
    """SIGHUP and SIGTERM work although the supervisor left them blocked and ignored."""
    with small_site(build, before=block_and_ignore_signals) as site:
        fault = serves(site.start(), "blocked-signals")
        for name in site.processes:
            site.signal(name, signal.SIGHUP)
        if not fault and not wait_for(lambda: all("event=reload valid=1" in site.log(it) for it in site.processes), START_SECONDS):
            fault = "no reload was logged"
        return fault or stop_all(site)


def reloads_until_the_end(build):
    """SIGHUP while a process ends after SIGTERM does not end it by a signal."""
    with small_site(build) as site:
        fault = serves(site.start(), "late-reload")
        for name in site.processes:
            site.signal(name, signal.SIGTERM)
        for name, process in site.processes.items():
            while process.poll() is None:
                site.signal(name, signal.SIGHUP)
        return fault or (f"ends: {site.exits()}" if any(site.exits().values()) else None)


def occupy(site, name, port):
    """Returns a socket that listens where the process wants to."""
    other = socket.socket()
    other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    other.bind((site.ips[name], port))
    other.listen()
    return other


def metrics_port_in_use(build):
    """A site serves without its metrics pages, and has them once their port is free."""
    with small_site(build) as site, contextlib.ExitStack() as others:
        for name in site.controllers + site.gateways:
            others.enter_context(occupy(site, name, METRICS_PORT))
        fault = serves(site.start(), "no-metrics")
        others.close()
        pages = ("c0", "vanillalift_controller_is_leader"), ("g0", "vanillalift_gateway_has_leader")
        if not fault and not wait_for(lambda: all(metric(site, *it) is not None for it in pages), START_SECONDS):
            fault = "the metrics pages do not open once their port is free"
        return fault


def addresses_in_use(build):
    """Addresses that are needed to serve and in use at the start are tried again, and the processes serve once they are free."""
    with small_site(build) as site, contextlib.ExitStack() as others:
        ports = {"c0": (CONTROL_PORT, LINK_PORT), "g0": (CLIENT_PORT, READY_PORT)}
        for name, numbers in ports.items():
            for port in numbers:
                others.enter_context(occupy(site, name, port))
        site.start()
        if not wait_for(lambda: all(site.log(name).count(f"cannot listen on port {port} yet") > 1 for name in ports for port in ports[name]), START_SECONDS):
            return f"not every address was tried again; exits: {site.exits()}"
        others.close()
        return serves(site, "late-address")


def close_standard_streams():
    for number in range(3):
        os.close(number)


def standard_streams_closed(build):
    """A process that is started without standard streams serves, and writes no log line into another of its files."""
    with small_site(build, before=close_standard_streams) as site:
        fault = serves(site.start(), "no-streams")
        targets = {os.readlink(f"/proc/{it.pid}/fd/{number}") for it in site.processes.values() for number in range(3)}
        return fault or (f"standard streams are {targets}" if targets != {"/dev/null"} else None)


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))


def lower_soft_descriptor_limit():
    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 1024))


def occupy_with_connections(site, stack, count):
    for name, port in (("c0", CONTROL_PORT), ("g0", CLIENT_PORT)):
        for _ in range(count):
            with contextlib.suppress(OSError):
                stack.enter_context(socket.create_connection((site.ips[name], port), timeout=2))


def few_descriptors_and_idle_connections(build):
    """Idle connections up to the limit of descriptors leave enough of them to keep a leader and to answer readiness checks."""
    with small_site(build, before=limit_descriptors) as site, contextlib.ExitStack() as connections:
        fault = serves(site.start(), "before")
        occupy_with_connections(site, connections, 100)
        if not fault and not wait_for(site.is_ready, START_SECONDS):
            fault = "the gateway answers no readiness check beside idle connections"
        connections.close()
        return fault or serves(site, "after")


def soft_descriptor_limit_is_raised(build):
    """A low soft limit of descriptors is raised to the hard limit before connections are counted."""
    with small_site(build, before=lower_soft_descriptor_limit) as site:
        fault = serves(site.start(), "raised")
        limits = [resource.prlimit(it.pid, resource.RLIMIT_NOFILE) for it in site.processes.values()]
        return fault or (f"limits are {limits}" if limits != [(1024, 1024)] * 2 else None)


def settings_being_written(build):
    """Settings that are cut off or empty at the first look are read again; those that stay faulty end the program with the field's name."""
    with small_site(build) as site:
        start_held(site, "c0", text='{"node": "c0", "portRa')
        start_held(site, "g0", text="")
        fault = serves(site, "late-settings")
        path = f"{site.folder}/faulty.json"
        with open(path, "w") as file:
            json.dump({**site.settings("c0", True), "portRange": ["x"]}, file)
        for program in ("vanillalift-controller", "vanillalift-gateway"):
            result = subprocess.run([f"{build}/bin/{program}", "--settings", path], capture_output=True, text=True, check=False, timeout=START_SECONDS)
            if result.returncode != 2 or len(result.stderr.splitlines()) != 1 or "portRange" not in result.stderr:
                fault = fault or f"{program} ends with {result.returncode} and prints {result.stderr!r}"
        return fault


CASES = [
    log_file_at_its_largest_size, errors_before_the_settings, reload_during_the_start, stop_during_the_start, signals_blocked_by_the_parent,
    reloads_until_the_end, metrics_port_in_use, addresses_in_use, standard_streams_closed,
    few_descriptors_and_idle_connections, soft_descriptor_limit_is_raised, settings_being_written,
]


def main():
    build, names = os.path.abspath(sys.argv[1]), sys.argv[2:]
    faults = 0
    for case in CASES:
        if names and case.__name__ not in names:
            continue
        fault = case(build)
        print(f"{case.__name__}: {fault or 'passed'}", flush=True)
        faults += fault is not None
    return 1 if faults else 0


sys.exit(main())
