"""Three controllers get the heartbeats of endpoints that go wherever the last answer said. The leader is then paused.

Checks that the controllers that are left have repeated the heartbeats of all endpoints to the new leader.
"""
import http.client
import itertools
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time

NETWORK = "127.0.62."
LINK_PORT, CONTROL_PORT, METRICS_PORT = 27900, 27901, 27902
CONTROLLERS = 3
ENDPOINTS = 12


def start(build, folder, n):
    ip = f"{NETWORK}{n + 1}"
    data = os.path.join(folder, f"data-{n}")
    os.mkdir(data)
    settings = {
        "node": f"c{n}", "ip": ip, "zone": f"z{n}", "listen": {"control": f"{ip}:{CONTROL_PORT}"},
        "portRange": [LINK_PORT, METRICS_PORT], "bootstrap": True, "dataDir": data,
        "seeds": [f"{NETWORK}{it + 1}:{CONTROL_PORT}" for it in range(CONTROLLERS)],
        "limits": {"maxFds": 1024}, "bounds": {"contactMs": 60000},
    }
    path = os.path.join(folder, f"c{n}.json")
    with open(path, "w") as file:
        json.dump(settings, file)
    log = open(os.path.join(folder, f"c{n}.log"), "w")
    program = os.path.join(build, "bin", "vanillalift-controller")
    return subprocess.Popen([program, "--settings", path], stdout=log, stderr=subprocess.STDOUT)


def wait_for(condition):
    """Polls until the condition gives a value; the caller's time limit ends a wait in vain."""
    while True:
        value = condition()
        if value is not None:
            return value
        time.sleep(0.05)


def send_heartbeat(address, n, sequence):
    """Returns the address for the next heartbeat, or None if this one was not acknowledged."""
    body = {
        "service": "s", "addr": f"127.0.62.100:{28000 + n}", "zone": f"z{n % CONTROLLERS}", "version": "v1", "slots": 8,
        "state": "ready", "coldLeftMs": 0, "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": ["a"],
        "clockMs": 1000 * sequence, "seq": sequence, "born": 1700000000000, "machine": f"m-{n}",
    }
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request("PUT", f"/-/instances/i-{n}", json.dumps(body), {"Content-Type": "application/json"})
        response = connection.getresponse()
        answer = response.read()
        return json.loads(answer).get("heartbeatAddr", address) if response.status == 200 else None
    except OSError:
        return None
    finally:
        connection.close()


def leader_of(folder, term):
    """Returns the number and term of the controller that leads in a term after the given one."""
    for n in range(CONTROLLERS):
        with open(os.path.join(folder, f"c{n}.log")) as file:
            terms = [int(it) for it in re.findall(r"event=lead term=(\d+)", file.read())]
        if terms and terms[-1] > term:
            return n, terms[-1]
    return None


def repeated_heartbeats(folder, term):
    """Returns the number of endpoints whose heartbeats were repeated in the term, once these are all endpoints."""
    count = 0
    for n in range(CONTROLLERS):
        with open(os.path.join(folder, f"c{n}.log")) as file:
            count += sum(map(int, re.findall(rf"event=heartbeats-repeated term={term} endpoints=(\d+)", file.read())))
    return count if count >= ENDPOINTS else None


def main():
    build = os.path.abspath(sys.argv[1])
    folder = tempfile.mkdtemp()
    processes = [start(build, folder, n) for n in range(CONTROLLERS)]
    try:
        leader, term = wait_for(lambda: leader_of(folder, 0))
        addresses = [f"{NETWORK}{n % CONTROLLERS + 1}:{CONTROL_PORT}" for n in range(ENDPOINTS)]
        # The controllers may still be connecting to one another: the time limit ends a wait for answers that keep naming the leader.
        for sequence in itertools.count(1):
            at_leader = [n for n in range(ENDPOINTS) if addresses[n].startswith(f"{NETWORK}{leader + 1}:")]
            for n in range(ENDPOINTS):
                addresses[n] = wait_for(lambda: send_heartbeat(addresses[n], n, sequence))
            if sequence > 1 and not at_leader:
                break
            print(f"round {sequence}: {len(at_leader)} of {ENDPOINTS} heartbeats sent to the leader", flush=True)
            time.sleep(0.1)
        leads_now = wait_for(lambda: leader_of(folder, 0))
        assert leads_now == (leader, term), "the leader has changed before it was paused"
        processes[leader].send_signal(signal.SIGSTOP)
        _, new_term = wait_for(lambda: leader_of(folder, term))
        wait_for(lambda: repeated_heartbeats(folder, new_term))
    finally:
        for it in processes:
            it.kill()
            it.wait()
    print("passed")


main()
