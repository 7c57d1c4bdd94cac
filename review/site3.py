"""A small deployment on loopback addresses: the project's controllers and gateways, started with the commands of deploy/system.toml,
beside executors (executor3.py), an operator and clients that follow PROTOCOL.md."""
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
REVIEW = ROOT / "review"
# Of the settings that `fleetbench wire` shows for hvtw-lift.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
          "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False, "revokeMs": 5000, "quotaWindowS": 5,
          "quotaOverage": 0.1, "quotaSlack": 20, "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000,
          "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 1.5, "checkpointS": 1, "restoreMs": 250,
          "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "requireFencing": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "upkeep", "sharing"]
KEY = "sjnbanfqasnmgkcuyj8p"
HEARTBEAT_MS = 1500


def request(address, method, path, body=None, headers=None, timeout=2.0):
    """Returns the status and the decoded body, or (None, the failure)."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        answer = response.read()
        return response.status, json.loads(answer) if answer else {}
    except (OSError, ValueError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        connection.close()


def wait_for(condition, seconds):
    """Polls until the condition holds. Returns what it gave last."""
    end = time.monotonic() + seconds
    while True:
        result = condition()
        if result or time.monotonic() >= end:
            return result
        time.sleep(0.02)


def route(name, prefix, service, **fields):
    return {"name": name, "host": "pule25.example", "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
            "service": service, "maxAttempts": 4, "stretch": 1.6, "public": False, **fields}


def service(name, **fields):
    return {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "rejectsOverload": False, "spare": False, **fields}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "cugo130", "apiKeys": [KEY], "priority": 1, "weight": 34, "maxCount": {"cpu": 1281348, "memMb": 1796833, "gpu": 0}}]}


class CannotRun(Exception):
    """The case could not be brought about: the script ends with 2."""


class Site:
    """Three controllers and two gateways in three zones."""

    def __init__(self, case, controllers=3, gateways=2):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="vanillalift-review-"))
        self.record_path = REVIEW / str(case) / "record.txt"
        self.record_file = open(self.record_path, "w")
        self.record_lock = threading.Lock()
        self.events_path = self.folder / "events.jsonl"
        self.events_path.touch()
        # Ports of a block that belongs to this process: several sites may run beside each other.
        self.net = f"127.{60 + os.getpid() % 60}.{os.getpid() // 60 % 250 + 1}"
        self.control_port, self.front_port, self.ready_port = 8345, 8340, 8343
        self.controllers = [f"core-{n}" for n in range(controllers)]
        self.gateways = [f"front-{n}" for n in range(gateways)]
        self.ips = {name: f"{self.net}.{n + 1}" for n, name in enumerate(self.controllers + self.gateways)}
        self.processes = {}
        self.executors = {}
        self.threads = []

    def note(self, event, **fields):
        line = json.dumps({"t": round(time.monotonic(), 3), "event": event, **fields})
        with self.record_lock:
            self.record_file.write(line + "\n")
            self.record_file.flush()

    def control(self, n):
        return f"{self.ips[self.controllers[n]]}:{self.control_port}"

    def controls(self):
        return [self.control(n) for n in range(len(self.controllers))]

    def front(self, n):
        return f"{self.ips[self.gateways[n]]}:{self.front_port}"

    def settings(self, name, is_first_start):
        ip, is_core = self.ips[name], name in self.controllers
        zones = [f"kgn-{it}" for it in "abc"]
        group = self.controllers if is_core else self.gateways
        fields = {"node": name, "role": "controller" if is_core else "gateway", "machineClass": "core" if is_core else "front", "serves": ["control" if is_core else "front"],
                  "ip": ip, "zone": zones[group.index(name) % 3], "region": "kingston", "zones": {it: "kingston" for it in zones},
                  "listen": {"control": f"{ip}:{self.control_port}"} if is_core else {"front": f"{ip}:{self.front_port}", "ready": f"{ip}:{self.ready_port}"},
                  "portRange": [7000, 7015], "seeds": self.controls()[:3], "bootstrap": is_first_start, "inFailureBudget": is_core,
                  "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 256, "maxFds": 1000, "linkMbps": 1000.0, "diskMb": 128 if is_core else 0},
                  "dataDir": None, "discovery": "registry", "entry": "vip", "heartbeatMs": HEARTBEAT_MS, "contracts": CONTRACTS,
                  "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "config_mode": "highest", "orders": "invoke", "advice": None, "cloud": None}
        if is_core:
            data = self.folder / f"data-{name}"
            data.mkdir(exist_ok=True)
            fields["dataDir"] = str(data)
        return fields

    def launch(self, name, is_first_start=False):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name, is_first_start)))
        program = "target/bin/vanillalift-controller" if name in self.controllers else "target/bin/vanillalift-gateway"
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ} | {"VANILLALIFT_BOOT": str(path)}
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([program], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def start(self, first_config):
        if not all((ROOT / it).exists() for it in ("target/bin/vanillalift-controller", "target/bin/vanillalift-gateway")):
            raise CannotRun("the programs are not built")
        for name in self.controllers + self.gateways:
            self.launch(name, True)
        self.put_config(first_config)
        is_ready = lambda: all(request(f"{self.ips[it]}:{self.ready_port}", "GET", "/-/ready")[0] == 200 for it in self.gateways)
        if not wait_for(is_ready, 15):
            raise CannotRun("the gateways are not ready")

    def put_config(self, body, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for it in self.controls():
                status, _ = request(it, "PUT", "/-/config", body, timeout=1.5)
                if status == 200:
                    return self.note("config-acked", version=body["version"], by=it)
            time.sleep(0.1)
        raise CannotRun("a configuration is not acknowledged")

    def start_executor(self, name, service, zone="kgn-a", labels=("a", "r1-1"), capacity=None, address=None, machine=None, **more):
        """Starts an executor's process. A second call with the same name starts it again under the id that it had."""
        number = len(self.executors) if name not in self.executors else self.executors[name]["number"]
        settings = {"id": f"i-{name}", "service": service, "zone": zone, "labels": list(labels), "capacity": capacity or {"cpu": 32000, "memMb": 131072, "gpu": 0},
                    "addr": address or f"{self.net}.{100 + number}:8080", "machine": machine or f"m-{name}", "controls": self.controls(), "heartbeat_ms": HEARTBEAT_MS,
                    "max_hold_ms": BOUNDS["maxHoldMs"], "record": str(self.events_path), **more}
        log = open(self.folder / f"executor-{name}.log", "ab")
        process = subprocess.Popen([sys.executable, str(REVIEW / "executor3.py"), json.dumps(settings)], stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.executors[name] = {"number": number, "process": process, "settings": settings}

    def crash_executor(self, name):
        process = self.executors[name]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.note("executor-crashed", executor=f"i-{name}")

    def events(self, *kinds):
        """Returns what the executors have recorded so far, in order of time."""
        lines = []
        for line in self.events_path.read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                # The last line may not be complete yet.
                continue
        lines.sort(key=lambda it: it["t"])
        return [it for it in lines if not kinds or it["event"] in kinds]

    def call(self, gateway, method, path, body=None, deadline_ms=3000):
        headers = {"Host": "pule25.example", "X-Credential": KEY, "X-Deadline-Ms": str(deadline_ms)}
        status, answer = request(self.front(gateway), method, path, body, headers, timeout=deadline_ms / 1000)
        self.note("client", method=method, path=path, status=status, answer=answer)
        return status, answer

    def submit(self, path, spec, steps, seconds=15):
        """Hands a submission in, as often as it is refused or not answered. Returns when it was accepted."""
        end = time.monotonic() + seconds
        attempt = 0
        while time.monotonic() < end:
            status, _ = self.call(attempt % len(self.gateways), "POST", path, {"spec": json.dumps(spec), "steps": steps})
            if status is not None and status // 100 == 2:
                return time.monotonic()
            attempt += 1
            time.sleep(0.2)
        raise CannotRun("a submission is not accepted")

    def state(self, path, gateway=0):
        status, answer = self.call(gateway, "GET", path)
        return answer.get("state") if status == 200 else status

    def end(self):
        for name in list(self.executors):
            process = self.executors[name]["process"]
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=8)
            except subprocess.TimeoutExpired:
                process.send_signal(signal.SIGKILL)
                process.wait()
        with self.record_lock:
            for it in self.events():
                self.record_file.write(json.dumps(it) + "\n")
            self.record_file.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def overlaps(events):
    """Returns two runs of one work unit that went on at the same time, or None. A run lasts until its executor ends it or crashes."""
    runs, last = [], {}
    for it in events:
        if it["event"] == "boot":
            last[it["executor"]] = it["born"]
        elif it["event"] == "run":
            runs.append({**it, "until": None})
        elif it["event"] == "end":
            for run in runs:
                if (run["task"], run["run"], run["executor"], run["born"]) == (it["task"], it["run"], it["executor"], it["born"]):
                    run["until"] = it["t"]
    for n, one in enumerate(runs):
        for other in runs[n + 1:]:
            is_same_run = (one["executor"], one["born"], one["run"]) == (other["executor"], other["born"], other["run"])
            if one["task"] == other["task"] and not is_same_run and (one["until"] is None or other["t"] < one["until"]):
                return f"work unit {one['task']}: run {one['run']} on {one['executor']} from {one['t']} to {one['until']}, run {other['run']} on {other['executor']} from {other['t']} to {other['until']}"
    return None


def most_live(events, begin, end):
    """Returns the largest number of runs that went on at the same time between the two."""
    live, most = set(), 0
    for it in events:
        if it["event"] not in ("run", "end") or it["t"] > end:
            continue
        key = (it["executor"], it["born"], it["task"], it["run"])
        live.add(key) if it["event"] == "run" else live.discard(key)
        most = max(most, len(live)) if it["t"] >= begin else len(live)
    return max(most, len(live))


def longest_gap(events, begin, end):
    """Returns the longest time between the two in which no executor runs anything."""
    live, idle_since, longest = set(), begin, 0.0
    for it in events:
        if it["event"] not in ("run", "end"):
            continue
        key = (it["executor"], it["born"], it["task"], it["run"])
        at = min(max(it["t"], begin), end)
        if it["event"] == "run":
            if not live:
                longest = max(longest, at - idle_since)
            live.add(key)
        else:
            live.discard(key)
            if not live:
                idle_since = at
    return longest if live else max(longest, end - idle_since)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(case, scenario, **site_options):
    """Runs a scenario: a function of the site that returns what broke the rule, or None. Ends the process."""
    site = Site(case, **site_options)
    # A script that is told to stop ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    try:
        fault = scenario(site)
        site.note("result", fault=fault)
        print(f"the rule was broken: {fault}" if fault else "the rule held")
        status = 1 if fault else 0
    except Exception as error:  # Whatever keeps the case from running says nothing about the rule.
        site.note("result", cannot_run=repr(error))
        print(f"the case could not run: {error!r}")
    finally:
        site.end()
    sys.exit(status)
