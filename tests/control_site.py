"""Runs the site of examples/site on loopback: three control replicas, three entries and two endpoints per zone, with a
relay on each link between a control replica and another replica or an entry. A site uses 400 ports from its first port."""

import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = "abc"


def load(path):
    return json.loads(re.sub(r"//[^\"\n]*$", "", path.read_text(), flags=re.M))


def until(what, condition, seconds=30):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(0.02)
    raise AssertionError(f"condition not met within {seconds} s: {what}")


def now_ns():
    """Current time on the clock of the endpoints' records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Site:
    def __init__(self, build, port=28000, entries=3, endpoints=2, service_ms=20):
        self.build, self.port, self.procs, self.links = build, port, {}, []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="vanillalift-site-"))
        self.entries = [f"entry-{ZONES[n % 3]}{n // 3 or ''}" for n in range(entries)]
        self.write_settings()
        try:
            self.form(endpoints, service_ms)
        except BaseException:
            self.stop()
            raise

    def form(self, endpoints, service_ms):
        self.relay = subprocess.Popen([sys.executable, ROOT / "tests/relay.py", *self.links], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert self.relay.stdout.readline() == "ready\n"
        self.start("r0", "--bootstrap")
        for name in ("r1", "r2"):
            self.start(name)
        for name in self.entries:
            self.start(name, "--first-start")
        for n in range(3 * endpoints):
            self.start_endpoint(n, endpoints, service_ms)
        changes = ROOT / "examples/site/changes"
        output = subprocess.run([ROOT / "scripts/form-site", self.build, self.folder, changes, self.folder], check=True, timeout=60, stdout=subprocess.PIPE, text=True)
        print(output.stdout.strip(), flush=True)
        self.admin = load(self.folder / "ctl.json")
        self.keys = {team: (self.folder / f"key-{team}").read_text().strip() for team in ("bench", "shops")}

    def open_link(self, source, replica):
        """Adds a relayed link from a process to a replica. Returns the address that the process connects to."""
        listen = self.port + 300 + len(self.links)
        self.links.append(f"{source}>r{replica}={listen}:{self.port + replica}")
        return f"127.0.0.1:{listen}"

    def write_settings(self):
        site = ROOT / "examples/site"
        for n in range(3):
            settings = load(site / f"control-r{n}.json")
            settings |= {"data_folder": str(self.folder / f"r{n}"), "peers": {f"r{k}": self.open_link(f"r{n}", k) for k in range(3) if k != n}}
            settings |= {"port": self.port + n, "operator_port": self.port + 10 + n, "admin_port": self.port + 20 + n}
            (self.folder / f"r{n}.json").write_text(json.dumps(settings))
        peers = [{"name": it, "zone": ZONES[n % 3], "peer_address": f"127.0.0.1:{self.port + 130 + n}"} for n, it in enumerate(self.entries)]
        for n, name in enumerate(self.entries):
            settings = load(site / f"entry-{ZONES[n % 3]}.json")
            settings |= {"name": name, "entries": peers, "control_replicas": [self.open_link(name, k) for k in range(3)]}
            settings |= {"caller_port": self.port + 100 + n, "announce_port": self.port + 110 + n, "admin_port": self.port + 120 + n}
            (self.folder / f"{name}.json").write_text(json.dumps(settings))
        operators = [f"127.0.0.1:{self.port + 10 + n}" for n in range(3)]
        (self.folder / "ctl-bootstrap.json").write_text(json.dumps(load(site / "ctl-bootstrap.json") | {"replicas": operators}))

    def start(self, name, *options):
        program = "vanillalift-control" if name[0] == "r" else "vanillalift-entry"
        self.spawn(name, [f"{self.build}/bin/{program}", *options, str(self.folder / f"{name}.json")])

    def start_endpoint(self, n, per_zone, service_ms, zone=None, service=None, slots=8):
        zone = zone or ZONES[n // per_zone]
        service = service or ("quote" if n % per_zone == 0 else "status")
        entries = ",".join(f"127.0.0.1:{self.port + 110 + k}" for k in range(len(self.entries)))
        self.spawn(f"endpoint-{n}", [f"{self.build}/bin/vanillalift-endpoint", "--service", service, "--address", f"127.0.0.1:{self.port + 200 + n}",
            "--zone", zone, "--instance", f"i{n}", "--slots", str(slots), "--connections", str(8 * slots), "--entries", entries, "--service-ms", str(service_ms),
            "--record-file", str(self.folder / f"record-{n}.jsonl"), "--seed", str(n + 1)])

    def spawn(self, name, command):
        self.procs[name] = subprocess.Popen(command, stderr=open(self.folder / f"{name}.log", "a"))

    def kill(self, name, how=signal.SIGKILL):
        self.procs[name].send_signal(how)
        if how == signal.SIGKILL:
            self.procs[name].wait()

    def send_relay_command(self, *words):
        self.relay.stdin.write(" ".join(map(str, words)) + "\n")
        self.relay.stdin.flush()
        return self.relay.stdout.readline().strip()

    def rpc(self, n, method, **params):
        """Calls a method on one replica. Returns (result, error message), both None if there was no response."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port + 10 + n, timeout=6)
        params |= {"account": self.admin["account"], "secret": self.admin["secret"]}
        try:
            connection.request("POST", "/rpc", json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}), {"Content-Type": "application/json"})
            response = json.loads(connection.getresponse().read())
            return response.get("result"), response.get("error", {}).get("message")
        except (OSError, ValueError, http.client.HTTPException):
            return None, None
        finally:
            connection.close()

    def call(self, method, seconds=20, **params):
        """Calls the replicas in turn until the leader returns a result."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for n in range(3):
                result, error = self.rpc(n, method, **params)
                if result is not None:
                    return result
                if error and not error.startswith(("not-leader", "outcome-unknown", "overloaded", "not-permitted")):
                    raise AssertionError(f"{method}: {error}")
            time.sleep(0.02)
        raise AssertionError(f"no answer to {method} within {seconds} s")

    def revision(self):
        return self.call("read", kind="teams")["revision"]

    def propose(self, operation, change, base=None):
        return self.call("propose", operation=operation, base_revision=self.revision() if base is None else base, change=change)

    def leader(self):
        for n in range(3):
            status = self.rpc(n, "status")[0]
            if status and status["role"] == "leader" and sum(it["voter"] for it in status["members"]) == 3:
                return n + 1
        return None

    def admin_get(self, entry, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.port + 120 + entry, timeout=5)
        try:
            connection.request("GET", path)
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def request(self, entry, service, key=None, timeout_ms=2000, seconds=5):
        """Sends one request. Returns (status, reason); status 0 means that the connection failed."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port + 100 + entry, timeout=seconds)
        headers = {"Vanillalift-Timeout-Ms": str(timeout_ms)} | ({"Authorization": f"Bearer {key}"} if key else {})
        try:
            connection.request("GET", f"/s/{service}/x", headers=headers)
            response = connection.getresponse()
            response.read()
            return response.status, response.getheader("Vanillalift-Reason")
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def records(self):
        """Attempts that the endpoints started; an attempt that is still running ends at the current time."""
        lines = [json.loads(line) for path in self.folder.glob("record-*.jsonl") for line in path.read_text().splitlines()]
        ends = {it["attempt"]: it["end_ns"] for it in lines if it["event"] == "end"}
        starts = [it for it in lines if it["event"] == "start"]
        return [it | {"end_ns": ends.get(it["attempt"], now_ns())} for it in starts]

    def stop(self):
        for it in [*self.procs.values(), self.relay]:
            it.kill()
            it.wait()
        subprocess.run(["rm", "-rf", str(self.folder)], check=True)


class Load:
    """Threads that send requests to one entry until stopped; `results` holds (send time, status, reason) of each request."""

    def __init__(self, site, entry, service, key, threads=4, pause=0.02):
        self.results, self.isStopping = [], False
        self.threads = [threading.Thread(target=self.run, args=(site, entry, service, key, pause)) for _ in range(threads)]
        for it in self.threads:
            it.start()

    def run(self, site, entry, service, key, pause):
        while not self.isStopping:
            sent = now_ns()
            self.results.append((sent, *site.request(entry, service, key)))
            time.sleep(pause)

    def stop(self):
        self.isStopping = True
        for it in self.threads:
            it.join()
        return self.results
