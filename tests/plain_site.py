"""Controllers and gateways as plain processes on loopback addresses, for tests of the hosts that they run on.

A test gives the site a condition of the host (a function that runs in each child before the program starts), and looks at
which processes ended, whether the gateways are ready, and what callers get.
"""
import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

CONTROL_PORT, CLIENT_PORT, READY_PORT = 28345, 28340, 28343
LINK_PORT, METRICS_PORT = 28100, 28115
KEY = "plain-key"
UNPRIVILEGED = 65534
CATALOG = {
    "version": 1,
    "routes": [{"name": "r", "host": "plain.example", "pathPrefix": "/jobs/", "kind": "unsafe", "timeoutMs": 3000,
                "targetLatencyMs": 600, "priority": 0, "service": "s", "maxAttempts": 4, "stretch": 1.6, "public": False}],
    "services": [{"name": "s", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "rejectsOverload": False, "spare": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t", "apiKeys": [KEY], "priority": 0, "weight": 10, "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}],
}


def become_unprivileged():
    os.setgroups([])
    os.setgid(UNPRIVILEGED)
    os.setuid(UNPRIVILEGED)


def call(ip, port, method, path, body=None, headers=None, timeout=2):
    """Returns the status and the body, or (None, reason) if there was no complete answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        connection.close()


def wait_for(condition, seconds):
    """Polls until the condition holds. Returns whether it did within the time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


class Site:
    def __init__(self, build, net, controllers=3, gateways=2, before=None, change=None, data_folder=None):
        """net: first three octets of the addresses. before: runs in each child before the program. change: edits the settings of a process.
        data_folder: returns the path of a controller's data folder; by default one that exists and belongs to this user."""
        self.build, self.net, self.before, self.change = os.path.abspath(build), net, before, change
        self.folder = tempfile.mkdtemp()
        os.chmod(self.folder, 0o755)
        self.data_folder = data_folder or self.make_data_folder
        self.controllers = [f"c{n}" for n in range(controllers)]
        self.gateways = [f"g{n}" for n in range(gateways)]
        self.ips = {name: f"{net}.{n + 1}" for n, name in enumerate(self.controllers)}
        self.ips.update({name: f"{net}.{n + 100}" for n, name in enumerate(self.gateways)})
        self.processes = {}

    def make_data_folder(self, name):
        path = f"{self.folder}/data-{name}"
        os.makedirs(path, exist_ok=True)
        return path

    def settings(self, name, is_first_start):
        ip, is_controller = self.ips[name], name in self.controllers
        listen = {"control": f"{ip}:{CONTROL_PORT}"} if is_controller else {"front": f"{ip}:{CLIENT_PORT}", "ready": f"{ip}:{READY_PORT}"}
        fields = {
            "node": name, "ip": ip, "zone": f"z{int(name[1:]) % 3}", "listen": listen, "portRange": [LINK_PORT, METRICS_PORT],
            "seeds": [f"{self.ips[it]}:{CONTROL_PORT}" for it in self.controllers[:3]], "bootstrap": is_first_start,
            "limits": {"memoryMb": 256, "maxFds": 4096}, "dataDir": self.data_folder(name) if is_controller else None,
            "bounds": {"contactMs": 3000},
        }
        if self.change:
            self.change(name, fields)
        return fields

    def start(self, is_first_start=True):
        for name in self.controllers + self.gateways:
            self.launch(name, is_first_start)
        return self

    def launch(self, name, is_first_start=False, stdout=None):
        path = f"{self.folder}/{name}.json"
        with open(path, "w") as file:
            json.dump(self.settings(name, is_first_start), file)
        program = "vanillalift-controller" if name in self.controllers else "vanillalift-gateway"
        with open(self.log_path(name), "ab") as log:
            self.processes[name] = subprocess.Popen([f"{self.build}/bin/{program}", "--settings", path], stdin=subprocess.DEVNULL,
                                                    stdout=stdout or log, stderr=stdout or log, preexec_fn=self.before, cwd="/")

    def log_path(self, name):
        return f"{self.folder}/{name}.log"

    def log(self, name):
        with open(self.log_path(name), errors="replace") as file:
            return file.read()

    def exits(self):
        """Returns the exit status of each process that has ended, by name."""
        return {name: it.poll() for name, it in self.processes.items() if it.poll() is not None}

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def is_ready(self):
        return all(call(self.ips[it], READY_PORT, "GET", "/-/ready")[0] == 200 for it in self.gateways)

    def put_catalog(self, seconds=15):
        return wait_for(lambda: any(call(self.ips[it], CONTROL_PORT, "PUT", "/-/config", json.dumps(CATALOG))[0] == 200 for it in self.controllers), seconds)

    def submit(self, gateway, job):
        body = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "estRuntimeMs": 500}]})
        return call(self.ips[gateway], CLIENT_PORT, "POST", f"/jobs/{job}", body, {"Host": "plain.example", "X-Credential": KEY, "X-Deadline-Ms": "3000"})[0]

    def job_state(self, gateway, job):
        """Returns the state of a job, or the status if it is not 200."""
        status, body = call(self.ips[gateway], CLIENT_PORT, "GET", f"/jobs/{job}", None, {"Host": "plain.example", "X-Credential": KEY, "X-Deadline-Ms": "3000"})
        return json.loads(body)["state"] if status == 200 else status

    def end(self):
        for it in self.processes.values():
            if it.poll() is None:
                it.send_signal(signal.SIGKILL)
            it.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
