"""Connections with bodies that never come whole to a gateway and to a controller, with the memory limits of the platform.

Checks the largest resident memory of each process, that it serves others meanwhile, and that it runs to the end.
"""
import resource
import socket
import sys
import time

from plain_site import CLIENT_PORT, CONTROL_PORT, READY_PORT, Site, call, wait_for

MEMORY_MB = {"c": 256, "g": 260}
MAX_SHARE = 0.8
BODY_BYTES = 199000
SECONDS = 20


def change(name, fields):
    fields["limits"]["memoryMb"] = MEMORY_MB[name[0]]


def peak_mb(pid):
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


def hold(ip, port, target, count):
    """Returns connections with a body of which the last byte is missing."""
    head = f"{target} HTTP/1.1\r\nHost: plain.example\r\nContent-Length: {BODY_BYTES + 1}\r\n\r\n".encode()
    held = []
    for _ in range(count):
        it = socket.create_connection((ip, port), timeout=10)
        it.settimeout(2)
        try:
            it.sendall(head + b"x" * BODY_BYTES)
        except OSError:
            # Refused while it was being sent.
            pass
        held.append(it)
    return held


def main(build):
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    site = Site(build, "127.0.74", change=change)
    errors = []
    try:
        site.start()
        if not wait_for(site.is_ready, SECONDS) or not site.put_catalog():
            return ["the site did not start"]
        for name, port, target, count, served in (
                ("g0", CLIENT_PORT, "POST /jobs/held", 1500, lambda: call(site.ips["g0"], READY_PORT, "GET", "/-/ready")[0] == 200),
                ("c0", CONTROL_PORT, "PUT /-/config", 1000, lambda: call(site.ips["c0"], CONTROL_PORT, "GET", "/-/config")[0] == 200)):
            held = hold(site.ips[name], port, target, count)
            if not wait_for(served, SECONDS):
                errors.append(f"{name} does not serve others")
            if name == "g0" and not wait_for(lambda: site.submit("g0", f"whole-{time.monotonic_ns()}") == 200, SECONDS):
                errors.append("g0 does not accept a whole request")
            peak = peak_mb(site.processes[name].pid)
            print(f"{name}: {len(held)} connections, at most {peak:.0f} MB resident, limit {MEMORY_MB[name[0]]} MB")
            if peak > MAX_SHARE * MEMORY_MB[name[0]]:
                errors.append(f"{name} had {peak:.0f} MB resident")
            for it in held:
                it.close()
        errors += [f"{name} ended with {status}" for name, status in site.exits().items()]
    finally:
        site.end()
    return errors


if __name__ == "__main__":
    faults = main(sys.argv[1])
    for it in faults:
        print("FAILED:", it)
    sys.exit(1 if faults else 0)
