"""A small site for the cases of this review: real controllers and gateways on loopback addresses, and stand-ins for
clients, operators, executors and the provider that follow the users' pages.

Names on the wire are those of PROTOCOL.md. Everything that is sent, answered or run goes to record.txt.
"""

import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))

# The bounds of the site file sites/gandum-lift.toml.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "recoveryS": 12, "maxHoldMs": 6000,
    "stopTimeoutMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "remoteFactor": 3, "checkpointS": 0.5, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2,
    "requireFencing": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
}
HEARTBEAT_S = 1.5
# DEPLOY.md: a process that exits or is killed is restarted after a short delay.
RESTART_S = 0.5
ZONES = ["lahore-a", "faisal-b", "multan-c"]


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.startedAt = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.startedAt:8.3f} {text}\n")
            self.file.flush()


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Returns (status, body), or (None, reason) if there was no complete answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        allHeaders = dict(headers or {})
        if data is not None:
            allHeaders["Content-Type"] = "application/json"
        connection.request(method, path, data, allHeaders)
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text) if text else None
        except ValueError:
            return response.status, None
    except (OSError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        connection.close()


def isFree(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def __init__(self, *arguments):
        self.connections = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def end(self):
        """Closes the listener and all connections, as the end of the process would."""
        self.shutdown()
        self.server_close()
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def serve(address, handle):
    """Serves HTTP/1.1 with keep-alive. handle(method, path, headers, body) returns (status, object), or None to close the
    connection without an answer."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length)
            reply = handle(self.command, self.path, self.headers, body)
            if reply is None:
                self.close_connection = True
                return
            status, result = reply
            data = b"" if result is None else json.dumps(result).encode()
            head = f"HTTP/1.1 {status} {http.client.responses.get(status, '')}\r\nContent-Length: {len(data)}\r\n"
            if data:
                head += "Content-Type: application/json\r\n"
            self.wfile.write(head.encode() + b"\r\n" + data)

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def handle(self):
            try:
                super().handle()
            except OSError:
                pass

        def log_message(self, *arguments):
            pass

    host, port = address.split(":")
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Executor:
    """One executor: an id, and one boot of it after the other. `spec` of a submission names how long its work units take,
    as "work_ms=N"."""

    def __init__(self, site, number, service, capacity=None, labels=None):
        self.site = site
        self.record = site.record
        self.id = f"i-{site.random.getrandbits(32):08x}"
        self.machine = f"m-{site.random.getrandbits(20):05x}"
        self.number = number
        self.service = service
        self.zone = ZONES[number % len(ZONES)]
        self.address = site.takeAddress()
        self.capacity = capacity or {"cpu": 32000, "memMb": 65536, "gpu": 0}
        self.labels = labels or ["a", f"r{number % 3 + 1}-1"]
        self.lock = threading.Condition()
        self.isUp = False
        self.boots = 0
        self.controllers = list(site.controlAddresses)
        self.nextController = 0

    def start(self):
        with self.lock:
            self.boots += 1
            self.boot = self.boots
            self.born = int(time.time() * 1000)
            self.bootedAt = time.monotonic()
            self.sequence = 0
            self.state = "ready"
            self.fence = 0
            self.leaseUntilMs = 0
            self.runs = {}
            self.highest = {}
            self.ended = []
            self.lastEnd = 0
            self.isUp = True
        self.server = serve(self.address, self.handle)
        self.record.line(f"executor {self.id} boot {self.boot} is up, born {self.born}")
        threading.Thread(target=self.work, args=(self.boot,), daemon=True).start()
        threading.Thread(target=self.beat, args=(self.boot,), daemon=True).start()

    def end(self):
        """The process ends: what runs on it terminates."""
        with self.lock:
            self.isUp = False
            for (task, run) in list(self.runs):
                self.site.noteEnd(self, task, run, "gone with its executor")
            self.runs = {}
            self.lock.notify_all()
        self.server.end()
        self.record.line(f"executor {self.id} boot {self.boot} has ended")

    def clockMs(self):
        return int((time.monotonic() - self.bootedAt) * 1000)

    # Heartbeats

    def description(self):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels, "machine": self.machine, "born": self.born,
                "clockMs": self.clockMs(), "seq": self.sequence}

    def callControl(self, method, path, makeBody, attempts):
        """Calls one controller after the other until one acknowledges within a second."""
        for _ in range(attempts):
            address = self.controllers[self.nextController % len(self.controllers)]
            status, body = call(address, method, path, makeBody() if makeBody else None, timeout=1.0)
            if status is not None and 200 <= status < 300:
                if isinstance(body, dict) and body.get("heartbeatAddr") in self.controllers:
                    self.nextController = self.controllers.index(body["heartbeatAddr"])
                return address
            self.nextController += 1
        return None

    def beatOnce(self, attempts=3):
        def makeBody():
            self.sequence += 1
            return self.description()

        return self.callControl("PUT", f"/-/instances/{self.id}", makeBody, attempts)

    def beat(self, boot):
        while self.isUp and self.boot == boot and not self.site.isStopping:
            self.beatOnce()
            time.sleep(HEARTBEAT_S)

    # Orders

    def handle(self, method, path, headers, body):
        if method == "GET":
            return 200, None
        if headers.get("X-Expect-Instance", self.id) != self.id:
            return 421, {"clockMs": self.clockMs()}
        try:
            request = json.loads(body)
        except ValueError:
            return 400, {"clockMs": self.clockMs()}
        with self.lock:
            if not self.isUp:
                return None
            if request.get("fence", 0) < self.fence:
                return 409, {"clockMs": self.clockMs(), "reason": "fence"}
            self.fence = max(self.fence, request.get("fence", 0))
            if path == "/-/run-start":
                return self.startRun(request)
            if path == "/-/run-stop":
                return self.stopRun(request)
            if path == "/-/hold":
                return self.hold(request)
            return 200, {"clockMs": self.clockMs()}

    def extendLease(self, request):
        if "deadlineMs" in request:
            self.leaseUntilMs = max(self.leaseUntilMs, min(request["deadlineMs"], self.clockMs() + BOUNDS["maxHoldMs"]))

    def startRun(self, request):
        task, run = request["task"], request["run"]
        if (task, run) in self.runs:
            self.extendLease(request)
            return 200, {"clockMs": self.clockMs()}
        if request["deadlineMs"] <= self.clockMs():
            return 409, {"clockMs": self.clockMs(), "reason": "late"}
        self.extendLease(request)
        if run <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clockMs(), "reason": "old"}
        if not self.site.isTicketValid(self, task, request.get("ticket")):
            return 409, {"clockMs": self.clockMs(), "reason": "ticket"}
        workMs = int(request["spec"].split("work_ms=")[1].split()[0])
        self.runs[(task, run)] = [time.monotonic(), workMs / 1000, None]
        self.site.noteStart(self, task, run, request["spec"])
        self.lock.notify_all()
        return 200, {"clockMs": self.clockMs()}

    def stopRun(self, request):
        task, run = request["task"], request["run"]
        self.record.line(f"executor {self.id} boot {self.boot} is told to stop {task} run {run}")
        self.highest[task] = max(self.highest.get(task, 0), run)
        entry = self.runs.get((task, run))
        if entry and entry[2] is None:
            entry[2] = time.monotonic() + 0.05
        return 200, {"clockMs": self.clockMs()}

    def hold(self, request):
        self.extendLease(request)
        self.ended = [it for it in self.ended if it[0] > request.get("ackedThrough", 0)]
        until = time.monotonic() + min(request.get("waitMs", 0), 2000) / 1000
        boot = self.boot
        while self.isUp and self.boot == boot and not self.ended and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        if not self.isUp or self.boot != boot:
            return None
        running = []
        for (task, run), (startedAt, seconds, _) in self.runs.items():
            running.append([task, run, "", int(min(1, (time.monotonic() - startedAt) / seconds) * 100), 0])
        return 200, {"clockMs": self.clockMs(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def work(self, boot):
        while True:
            time.sleep(0.01)
            with self.lock:
                if not self.runs:
                    self.lock.wait(0.5)
                if not self.isUp or self.boot != boot or self.site.isStopping:
                    return
                now = time.monotonic()
                hasLapsed = self.clockMs() > self.leaseUntilMs
                for (task, run), (startedAt, seconds, stopAt) in list(self.runs.items()):
                    how = None
                    if hasLapsed:
                        how = "lapsed"
                    elif stopAt is not None and now >= stopAt:
                        how = "stopped"
                    elif now - startedAt >= seconds:
                        how = "done"
                    if how:
                        del self.runs[(task, run)]
                        self.highest[task] = max(self.highest.get(task, 0), run)
                        self.lastEnd += 1
                        self.ended.append([self.lastEnd, task, run, how, ""])
                        self.site.noteEnd(self, task, run, how)
                        self.lock.notify_all()


class Site:
    def __init__(self, folder, controllers=3, gateways=2, services=("okara-meals",)):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.random = random.Random()
        self.folder = tempfile.mkdtemp(prefix="vanillalift-review-")
        self.processes = {}
        # (name, status) of each process that has ended by itself.
        self.exits = []
        self.executors = []
        # Settings of the queues' advice in the config, and the ids of the executors that their policy allows.
        self.adviceSettings = None
        self.allowed = set()
        self.adviceCalls = 0
        self.isStopping = False
        self.lock = threading.Lock()
        self.processLock = threading.Lock()
        self.adviceLock = threading.Lock()
        # By work unit: list of [executor, boot, run, startedAt, endedAt, how].
        self.starts = {}
        self.services = services
        self.nextIp = 0
        self.pickAddresses(controllers, gateways)
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            if not os.path.exists(os.path.join(REPOSITORY, role["run"].split()[0])):
                raise RuntimeError(f"{role['run']} is missing: the build of the deploy file has not run")

    def pickAddresses(self, controllers, gateways):
        for _ in range(50):
            self.network = f"127.{self.random.randrange(16, 250)}.{self.random.randrange(1, 250)}"
            self.port = self.random.randrange(20000, 30000)
            self.linkPorts = [self.port + 100, self.port + 115]
            self.controllerIps = [f"{self.network}.{n + 1}" for n in range(controllers)]
            self.gatewayIps = [f"{self.network}.{n + 21}" for n in range(gateways)]
            ports = [self.port, self.port + 1, self.port + 2, *self.linkPorts]
            if all(isFree(ip, port) for ip in self.controllerIps + self.gatewayIps for port in ports):
                break
        else:
            raise RuntimeError("no free loopback addresses")
        self.controlAddresses = [f"{ip}:{self.port}" for ip in self.controllerIps]
        self.gatewayAddresses = [f"{ip}:{self.port + 1}" for ip in self.gatewayIps]
        self.cloudAddress = f"{self.network}.200:{self.port + 3}"
        self.adviceAddress = f"{self.network}.201:{self.port + 3}"

    def takeAddress(self):
        self.nextIp += 1
        return f"{self.network}.{self.nextIp + 50}:{self.port + 4}"

    # Processes

    def settings(self, role, n, isFirstStart):
        isController = role == "controller"
        ip = (self.controllerIps if isController else self.gatewayIps)[n]
        listen = {"control": f"{ip}:{self.port}"} if isController else {"front": f"{ip}:{self.port + 1}", "ready": f"{ip}:{self.port + 2}"}
        zone = ZONES[n % len(ZONES)]
        machineClass = "core" if isController else "front"
        return {
            "node": f"{machineClass}-{zone}-{n + 1}", "role": role, "machineClass": machineClass,
            "serves": ["control" if isController else "front"], "ip": ip, "zone": zone, "region": "punjab",
            "zones": {it: "punjab" for it in ZONES}, "listen": listen, "portRange": self.linkPorts,
            "seeds": self.controlAddresses[:3], "bootstrap": isFirstStart, "inFailureBudget": isController,
            "limits": {"cpuShare": 0.35, "cores": 1, "memoryMb": 256, "maxFds": 4096, "linkMbps": 200.0, "diskMb": 128 if isController else 0},
            "dataDir": os.path.join(self.folder, f"disk-{n}") if isController else None,
            "discovery": "registry", "entry": "vip", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "config_mode": "highest", "orders": "invoke",
            "advice": self.adviceAddress,
            "cloud": {"addr": self.cloudAddress, "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0},
        }

    def startProcess(self, role, n, isFirstStart=False):
        name = f"{role}-{n}"
        settings = self.settings(role, n, isFirstStart)
        if settings["dataDir"]:
            os.makedirs(settings["dataDir"], exist_ok=True)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C", "VANILLALIFT_BOOT": path}
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        command = self.roles[role]["run"].split()
        command[0] = os.path.join(REPOSITORY, command[0])
        process = subprocess.Popen(command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        self.record.line(f"started {name}, process {process.pid}")
        threading.Thread(target=self.watch, args=(name, process), daemon=True).start()

    def watch(self, name, process):
        status = process.wait()
        if self.isStopping:
            return
        with self.lock:
            self.exits.append((name, status))
        self.record.line(f"{name}, process {process.pid}, has ended by itself with status {status}")
        # The provider starts a process again that has ended.
        time.sleep(RESTART_S)
        with self.processLock:
            if not self.isStopping:
                role, n = name.rsplit("-", 1)
                self.startProcess(role, int(n))

    def start(self):
        self.cloud = serve(self.cloudAddress, self.handleCloud)
        self.advice = serve(self.adviceAddress, self.handleAdvice)
        for n in range(len(self.controllerIps)):
            self.startProcess("controller", n, True)
        for n in range(len(self.gatewayIps)):
            self.startProcess("gateway", n, True)

    def stop(self):
        with self.processLock:
            self.isStopping = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder, file=sys.stderr)

    # Provider

    def handleCloud(self, method, path, headers, body):
        if method == "GET":
            return 200, {"machines": [
                {"machine": it.machine, "pool": it.service, "state": "up" if it.isUp else "down", "zone": it.zone, "labels": it.labels,
                 "capacity": it.capacity, "id": it.id} for it in list(self.executors)], "nextToken": None}
        self.record.line(f"provider is asked {path} {body.decode(errors='replace')} and refuses")
        return 409, {"reason": "busy"}

    # Advice

    def ticket(self, executor, task):
        return f"{task.rsplit('.', 1)[0]}-{executor.id}-{executor.boot}"

    def isTicketValid(self, executor, task, ticket):
        return not self.adviceSettings or ticket == self.ticket(executor, task)

    def handleAdvice(self, method, path, headers, body):
        request = json.loads(body)
        with self.adviceLock:
            time.sleep((self.adviceSettings["decideMs"] + self.adviceSettings["intervalMs"] * len(request["workers"])) / 1000)
        asked = set(request["workers"])
        good = [[it.id, self.ticket(it, request["step"] + ".0")] for it in self.executors if it.id in self.allowed and it.id in asked]
        self.adviceCalls += 1
        if self.adviceCalls <= 20 or good:
            self.record.line(f"advice on {request['step']}: {len(asked)} executors are named, {len(good)} of them are good")
        return 200, {"good": good, "validMs": self.adviceSettings["validMs"]}

    # Executors

    def addExecutors(self, count, service, **options):
        for _ in range(count):
            executor = Executor(self, len(self.executors), service, **options)
            self.executors.append(executor)
            executor.start()

    def noteStart(self, executor, task, run, spec):
        with self.lock:
            self.starts.setdefault(task, []).append([executor.id, executor.boot, run, time.monotonic(), None, None])
        self.record.line(f"executor {executor.id} boot {executor.boot} begins {task} run {run}")

    def noteEnd(self, executor, task, run, how):
        with self.lock:
            for it in self.starts.get(task, []):
                if it[0] == executor.id and it[1] == executor.boot and it[2] == run and it[4] is None:
                    it[4], it[5] = time.monotonic(), how
        self.record.line(f"executor {executor.id} boot {executor.boot}: {task} run {run} has ended, {how}")

    def runsOf(self, submission):
        with self.lock:
            return {task: [list(it) for it in runs] for task, runs in self.starts.items() if task.startswith(submission + ".")}

    # Operator

    def config(self, version, keys=("key-1",), routes=("okara-meals",)):
        return {
            "version": version,
            "routes": [{"name": f"r-{it}", "host": "lift.example", "pathPrefix": f"/{it}/", "kind": "unsafe", "timeoutMs": 3000,
                        "targetLatencyMs": 600, "priority": 1, "service": it, "maxAttempts": 4, "stretch": 1.6, "public": False,
                        **({"advice": self.adviceSettings} if self.adviceSettings else {})} for it in routes],
            "services": [{"name": it, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "rejectsOverload": False,
                          "spare": False} for it in self.services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "crew", "apiKeys": list(keys), "priority": 1, "weight": 34, "maxCount": {"cpu": 1281348, "memMb": 1796833, "gpu": 0}}],
        }

    def putConfig(self, config, timeout=20):
        """Sends the config to one controller after the other until one acknowledges it."""
        deadline = time.monotonic() + timeout
        n = 0
        while time.monotonic() < deadline:
            address = self.controlAddresses[n % len(self.controlAddresses)]
            n += 1
            status, _ = call(address, "PUT", "/-/config", config)
            self.record.line(f"operator sends config {config['version']} to {address}: {status}")
            if status == 200:
                return True
            time.sleep(0.1)
        return False

    # Consumers

    def newId(self):
        return f"{self.random.getrandbits(64):016x}"

    def consumer(self, method, path, body=None, key="key-1", gateway=0, budgetMs=3000):
        headers = {"Host": "lift.example", "X-Deadline-Ms": str(budgetMs)}
        if key:
            headers["X-Credential"] = key
        status, result = call(self.gatewayAddresses[gateway % len(self.gatewayAddresses)], method, path, body, headers, timeout=budgetMs / 1000)
        self.record.line(f"consumer {method} {path} at gateway {gateway}: {status} {result if result else ''}")
        return status, result

    def submit(self, submission, workMs, count=1, route="okara-meals", gateway=0, **fields):
        step = {"count": count, "cpu": 1000, "memMb": 512, "estRuntimeMs": max(workMs, 500), **fields}
        return self.consumer("POST", f"/{route}/{submission}", {"spec": f"work_ms={workMs}", "steps": [step]}, gateway=gateway)

    def state(self, submission, route="okara-meals", gateway=0):
        status, result = self.consumer("GET", f"/{route}/{submission}", gateway=gateway)
        return result.get("state") if status == 200 and result else status

    def waitForState(self, submission, wanted, timeout, route="okara-meals"):
        deadline = time.monotonic() + timeout
        n = 0
        while time.monotonic() < deadline:
            state = self.state(submission, route, n)
            n += 1
            if state == wanted:
                return True
            time.sleep(0.3)
        return False

    def waitUntil(self, condition, timeout):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.02)
        return False

    def becomeReady(self, executors, service="okara-meals", **options):
        """Starts the processes and executors and waits until a first submission has been completed."""
        self.start()
        if not self.putConfig(self.config(1)):
            return False
        self.addExecutors(executors, service, **options)
        for _ in range(20):
            submission = self.newId()
            if self.submit(submission, 100)[0] == 200:
                return self.waitForState(submission, "completed", 10)
            time.sleep(0.5)
        return False


def overlaps(runs, least=0.1):
    """Returns two runs of one work unit that went on at the same time for at least that many seconds, and for how long, or None."""
    now = time.monotonic()
    for n, first in enumerate(runs):
        for second in runs[n + 1:]:
            seconds = min(first[4] or now, second[4] or now) - max(first[3], second[3])
            if seconds >= least:
                return first, second, seconds
    return None


def main(folder, case, hasTrouble):
    """Runs case(site, hasTrouble), which returns None if the rule held, else a text, and exits as the issue asks."""
    site = None
    status = 2

    def end(number, frame):
        raise RuntimeError("ended from outside")

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    try:
        site = Site(folder)
        broken = case(site, hasTrouble)
        site.record.line(f"verdict: {'the rule held' if not broken else 'broken: ' + broken}")
        print("the rule held" if not broken else "broken: " + broken)
        status = 1 if broken else 0
    except Exception as error:  # The case could not run.
        if site:
            site.record.line(f"verdict: the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    finally:
        if site:
            site.stop()
    sys.stdout.flush()
    os._exit(status)
