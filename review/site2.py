"""A small deployment for the cases 6 to 10: the project's controllers and gateways as separate processes, started with the
commands of the deploy file, beside stand-ins for executors, the provider, the operator and consumers.

The stand-ins share one event loop. What they see goes into `record.txt` with the time since the start.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CONTROL, FRONT, READY, LINK, METRICS, EXECUTOR, CLOUD = 18345, 18340, 18343, 17000, 17015, 18080, 18344
KEY, TENANT, HOST, PREFIX = "a7gd3kq9wm2c", "cugo", "pule25.example", "/puxa400/"
# The bounds of gandum-lift.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000,
          "maxHoldMs": 6000, "stopTimeoutMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
          "status_s": 120, "remoteFactor": 3, "checkpointS": 0.5, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2,
          "requireFencing": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000}


class CannotRun(Exception):
    pass


class Record:
    def __init__(self, path):
        self.file, self.begin = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def line(self, *words):
        self.file.write(f"{self.now():8.3f}  " + " ".join(str(it) for it in words) + "\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the headers and the body of one HTTP message, or None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.strip().lower(): value.strip() for name, _, value in (it.partition(":") for it in head[1:] if it)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return head[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


async def call(ip, port, method, path, body=None, headers=None, timeout=2.0):
    """Returns the status and the decoded body, or (None, reason) if there is no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {ip}:{port}" if not headers or "Host" not in headers else f"Host: {headers['Host']}",
                     f"Content-Length: {len(data)}", "Content-Type: application/json", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items() if name != "Host"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                return None, "closed"
            text = answer[2]
            return int(answer[0].split()[1]), (json.loads(text) if text else {})
    except (OSError, TimeoutError, asyncio.TimeoutError, ValueError) as error:
        return None, type(error).__name__
    finally:
        if writer:
            writer.close()


async def leader(world):
    """Returns the name of the controller whose metrics page says that it leads."""
    for name, ip in world.controllers.items():
        try:
            reader, writer = await asyncio.open_connection(ip, METRICS)
            writer.write(f"GET /metrics HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
            page = (await reader.read()).decode(errors="replace")
            writer.close()
        except OSError:
            continue
        if any(it.startswith("vanillalift_controller_is_leader") and it.endswith(" 1") for it in page.splitlines()):
            return name
    raise CannotRun("no controller leads")


class HttpServer:
    """One process's server: it can end as a crashed process does, with a reset of its connections."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        # Whether a connection is closed after one response, as HTTP/1.1 allows.
        self.closes_each = False
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, path, _ = message[0].split(" ", 2)
                status, body = await self.handle(method, path, message[1], message[2])
                if status is None:
                    continue
                data = json.dumps(body).encode()
                end = "Connection: close\r\n" if self.closes_each else ""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n{end}\r\n".encode() + data)
                await writer.drain()
                if self.closes_each:
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        if self.server:
            self.server.close()
        for it in list(self.writers):
            it.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            it.transport.abort()


class Run:
    def __init__(self, task, number, spec, checkpoint, now):
        self.task, self.number, self.spec, self.given = task, number, spec, checkpoint
        self.begun, self.base, self.saved, self.work_ms, self.at_work = now, 0, "", 0.0, False


class Executor:
    """One life of a machine, as PROTOCOL.md describes it. `world.job(id)` tells how long a work unit takes."""

    def __init__(self, world, ip, id, labels, capacity=None, service="huvo", machine=None):
        self.world, self.ip, self.id, self.labels, self.service = world, ip, id, labels, service
        self.capacity = capacity or {"cpu": 32000, "memMb": 65536, "gpu": 0}
        self.machine = machine or "m-" + ip.split(".")[-1]
        self.born, self.boot = int(time.time() * 1000), time.monotonic()
        self.fence, self.lease_ms, self.seq, self.end_number = 0, 0, 0, 0
        self.runs, self.ends, self.closed = {}, [], {}
        self.state, self.is_up, self.beat_address = "ready", False, None
        self.changed = asyncio.Event()
        self.http = HttpServer(ip, EXECUTOR, self.handle)
        self.tasks = []

    def clock(self):
        return int((time.monotonic() - self.boot) * 1000)

    async def start(self, closes_each=False):
        self.http.closes_each = closes_each
        await self.http.start()
        self.is_up = True
        self.world.record.line(self.id, "is up, labels", self.labels, "born", self.born)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]
        return self

    def crash(self):
        """Ends as a killed process: nothing is sent, what ran has ended."""
        self.world.record.line(self.id, "crashes with", [f"{it.task} run {it.number}" for it in self.runs.values()])
        self.is_up = False
        for it in self.runs.values():
            self.world.ended(self, it, "lost with its executor")
        self.runs.clear()
        for it in self.tasks:
            it.cancel()
        self.http.crash()

    def go_dark(self):
        """Ends as a machine without power: nothing is answered or reset any more."""
        self.world.record.line(self.id, "goes dark with", [f"{it.task} run {it.number}" for it in self.runs.values()])
        self.is_up = False
        for it in self.runs.values():
            self.world.ended(self, it, "lost with its executor")
        self.runs.clear()
        for it in self.tasks:
            it.cancel()

    async def beat(self):
        while True:
            self.seq += 1
            body = {"service": self.service, "addr": f"{self.ip}:{EXECUTOR}", "zone": self.world.zone_of(self.ip), "version": "v1", "slots": 8, "state": self.state,
                    "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels, "machine": self.machine, "clockMs": self.clock(), "seq": self.seq,
                    "born": self.born}
            await self.ping(body)
            await asyncio.sleep(self.world.heartbeat_s)

    async def ping(self, body):
        """Calls one controller after the other, each for a second."""
        nodes = [it for it in self.world.controllers.values()]
        random.shuffle(nodes)
        if self.beat_address:
            nodes.insert(0, self.beat_address)
        for it in self.world.ping_order(self, nodes):
            ip, _, port = it.partition(":")
            status, answer = await call(ip, int(port or CONTROL), "PUT", f"/-/instances/{self.id}", body, timeout=1.0)
            if status == 200:
                self.beat_address = answer.get("heartbeatAddr", self.beat_address)
                return
            self.world.record.line(self.id, "ping", self.seq, "to", it, "failed:", status or answer)
            if it == self.beat_address:
                self.beat_address = None

    async def work(self):
        """Lets the work units progress in steps of 20 ms, and ends all of them when the lease has lapsed."""
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() >= self.lease_ms:
                for it in list(self.runs.values()):
                    self.end(it, "lapsed")
            for it in list(self.runs.values()):
                self.world.progress(self, it, 20.0)

    def end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.end_number += 1
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.ends.append([self.end_number, run.task, run.number, how, run.saved])
        self.world.record.line(self.id, "end", self.end_number, run.task, "run", run.number, how, run.saved)
        self.world.ended(self, run, how)
        self.changed.set()

    async def handle(self, method, path, headers, data):
        if not self.is_up or self.world.is_held_up(self, path, data):
            return None, None
        expected = headers.get("x-expect-instance")
        if expected and expected != self.id:
            return 421, {}
        try:
            body = json.loads(data)
        except ValueError:
            return 400, {}
        fence = body.get("fence", 0)
        if path == "/-/hold":
            return await self.hold(body, fence)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if path == "/-/run-start":
            return self.run_start(body)
        if path == "/-/run-stop":
            self.world.record.line(self.id, "stop", body["task"], "run", body["run"], "fence", fence)
            self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["run"])
            run = self.runs.get(body["task"])
            if run and run.number <= body["run"]:
                asyncio.get_running_loop().call_later(self.world.stop_s, lambda: self.is_up and self.end(run, "stopped") if self.runs.get(run.task) is run else None)
            return 200, {"clockMs": self.clock()}
        if path == "/-/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def extend(self, deadline):
        if deadline is not None:
            self.lease_ms = max(self.lease_ms, min(deadline, self.clock() + BOUNDS["maxHoldMs"]))

    async def hold(self, body, fence):
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        self.extend(body.get("deadlineMs"))
        acked = body.get("ackedThrough", 0)
        for it in self.ends:
            if it[0] <= acked:
                self.world.taken_note(self, it)
        self.ends = [it for it in self.ends if it[0] > acked]
        if body.get("waitMs") and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass
            if not self.is_up:
                return None, None
        running = [[it.task, it.number, it.saved, self.world.percent(it), 0] for it in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}

    def has_room(self, task):
        """Whether the work unit fits beside what runs, for services with `rejectsOverload`."""
        step = self.world.job_of(task)["steps"][int(task.split(".")[2])]
        return all(step.get(name, 0) <= amount for name, amount in self.world.free(self).items())

    def run_start(self, body):
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        line = (self.id, "start", task, "run", number, "lastCheckpoint", body.get("lastCheckpoint", "-"), "fence", body.get("fence", 0))

        def refuse(reason):
            self.world.record.line(*line, "-> 409", reason)
            return 409, {"clockMs": self.clock(), "reason": reason}
        if known and known.number == number:
            return 200, {"clockMs": self.clock()}
        if number <= self.closed.get(task, 0) or known:
            self.extend(body.get("deadlineMs"))
            return refuse("old")
        if body.get("deadlineMs", 0) <= self.clock():
            return refuse("late")
        self.extend(body["deadlineMs"])
        if self.world.guards and not self.has_room(task):
            return refuse("room")
        run = Run(task, number, body.get("spec"), body.get("lastCheckpoint", ""), time.monotonic())
        run.saved = run.given
        self.runs[task] = run
        self.world.record.line(*line, "-> 200")
        self.world.started(self, run)
        return 200, {"clockMs": self.clock()}


class Cloud:
    """The provider: it lists the machines and carries out upkeeps. Machines don't move, as there is one pool."""

    def __init__(self, world, ip):
        self.world, self.http = world, HttpServer(ip, CLOUD, self.handle)
        self.fences, self.done, self.down = {}, set(), set()

    async def handle(self, method, path, headers, data):
        if method == "GET" and path.startswith("/-/machines"):
            return 200, {"machines": [{"machine": it.machine, "pool": it.service, "state": "upkeep" if it.machine in self.down else "up" if it.is_up else "down",
                                       "zone": self.world.zone_of(it.ip), "labels": it.labels, "capacity": it.capacity, "id": it.id}
                                      for it in self.world.executors.values()], "nextToken": None}
        body = json.loads(data)
        status, reason = self.order(path, body, int(headers.get("x-fence-token", "0")))
        self.world.record.line("provider:", headers.get("x-duty-holder"), path, body, "->", status, reason)
        return status, {"reason": reason} if reason else {}

    def order(self, path, body, fence):
        machine = body.get("machine")
        executor = next((it for it in self.world.executors.values() if it.machine == machine), None)
        if executor is None or path != "/-/machine-upkeep":
            return 400, ""
        if fence < self.fences.get(machine, 0):
            return 409, "fence"
        self.fences[machine] = fence
        if (machine, body["wave"]) in self.done:
            return 200, ""
        if machine in self.down or not executor.is_up:
            return 409, "busy"
        self.done.add((machine, body["wave"]))
        self.down.add(machine)
        executor.crash()
        asyncio.get_running_loop().create_task(self.bring_back(executor))
        return 200, ""

    async def bring_back(self, executor):
        await asyncio.sleep(BOUNDS["upkeepS"])
        self.down.discard(executor.machine)
        await self.world.add_executor(int(executor.ip.split(".")[-1]), executor.id + "u", executor.labels, machine=executor.machine)


class World:
    """The deployment. A case derives its own, with what its work units do."""

    def __init__(self, folder, controllers=3, gateways=1):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.cloud = None
        self.controllers = {f"core-{n}": f"{self.net}.{n}" for n in range(1, controllers + 1)}
        self.gateways = {f"front-{n}": f"{self.net}.{n + 20}" for n in range(1, gateways + 1)}
        self.heartbeat_s, self.stop_s, self.guards = 1.5, 0.05, False
        self.executors, self.processes, self.jobs = {}, {}, {}
        self.folder = tempfile.mkdtemp(prefix="vanillalift-case-")
        self.cloud_ip = f"{self.net}.200"
        self.config_version = 0

    def zone_of(self, ip):
        return ["lahore-a", "faisal-b", "multan-c"][int(ip.split(".")[-1]) % 3]

    def ping_order(self, executor, nodes):
        return nodes

    def is_held_up(self, executor, path, data):
        return False

    def free(self, executor):
        """Returns what the work units on the executor leave of its capacity."""
        steps = [self.job_of(it)["steps"][int(it.split(".")[2])] for it in executor.runs]
        return {name: amount - sum(it.get(name, 0) for it in steps) for name, amount in executor.capacity.items()}

    # What work units do; a case overrides these.
    def job_of(self, task):
        return self.jobs.get(task.split(".")[0], {})

    def progress(self, executor, run, ms):
        run.work_ms += ms
        step = self.job_of(run.task)["steps"][int(run.task.split(".")[2])]
        run.at_work = run.work_ms >= 300
        if not step.get("longRunning") and run.work_ms >= step["real_ms"]:
            executor.end(run, "done")

    def percent(self, run):
        step = self.job_of(run.task)["steps"][int(run.task.split(".")[2])]
        return (100 if run.at_work else 50) if step.get("longRunning") else min(99, int(100 * run.work_ms / step["real_ms"]))

    def started(self, executor, run):
        pass

    def ended(self, executor, run, how):
        pass

    def taken_note(self, executor, end):
        pass

    # The deployment's processes.
    def settings(self, name, is_first):
        is_core = name in self.controllers
        ip = (self.controllers if is_core else self.gateways)[name]
        data = os.path.join(self.folder, "data-" + name)
        if is_core:
            os.makedirs(data, exist_ok=True)
        return {"node": name, "role": "controller" if is_core else "gateway", "machineClass": "core" if is_core else "front", "serves": ["control" if is_core else "front"],
                "ip": ip, "zone": self.zone_of(ip), "region": "punjab", "zones": {"lahore-a": "punjab", "faisal-b": "punjab", "multan-c": "punjab"},
                "listen": {"control": f"{ip}:{CONTROL}"} if is_core else {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"}, "portRange": [LINK, METRICS],
                "seeds": [f"{it}:{CONTROL}" for it in list(self.controllers.values())[:3]], "bootstrap": is_first, "inFailureBudget": is_core,
                "limits": {"cpuShare": 0.35 if is_core else 0.25, "cores": 1, "memoryMb": 256 if is_core else 260, "maxFds": 4096, "linkMbps": 200.0, "diskMb": 128 if is_core else 0},
                "dataDir": data if is_core else None, "discovery": "registry", "entry": "vip", "heartbeatMs": int(self.heartbeat_s * 1000),
                "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "advice", "upkeep", "sharing"],
                "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "config_mode": "highest", "orders": "invoke", "advice": "",
                "cloud": {"addr": f"{self.cloud_ip}:{CLOUD}", "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0}}

    async def launch(self, name, is_first=False):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        command = next(it["run"] for it in roles.values() if it["on"] == ("core" if name in self.controllers else "front")).split()
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(name, is_first), file)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        try:
            self.processes[name] = await asyncio.create_subprocess_exec(*command, cwd=REPOSITORY, env={"PATH": os.environ.get("PATH", ""), "VANILLALIFT_BOOT": path},
                                                                        stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        except OSError as error:
            raise CannotRun(f"{command[0]}: {error}")

    async def begin(self, config):
        self.guards = config["services"][0]["rejectsOverload"]
        self.cloud = Cloud(self, self.cloud_ip)
        await self.cloud.http.start()
        for it in list(self.controllers) + list(self.gateways):
            await self.launch(it, True)
        await self.until(lambda: self.put_config(config), 20, "no controller acknowledged the config")

    async def until(self, condition, seconds, failure):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(failure)

    async def put_config(self, config):
        for name, ip in self.controllers.items():
            status, _ = await call(ip, CONTROL, "PUT", "/-/config", config, timeout=1.0)
            if status == 200:
                self.record.line("operator: config", config["version"], "acknowledged by", name)
                return True
        return False

    async def add_executor(self, ip_number, id, labels, **options):
        closes_each = options.pop("closes_each", False)
        ip = f"{self.net}.{ip_number}"
        self.executors[ip] = await Executor(self, ip, id, labels, **options).start(closes_each)
        return self.executors[ip]

    async def consumer(self, method, path, body=None, timeout=3.0, gateway=None):
        ip = self.gateways[gateway or next(iter(self.gateways))]
        return await call(ip, FRONT, method, path, body, {"Host": HOST, "X-Credential": KEY, "X-Deadline-Ms": "3000"}, timeout)

    async def submit(self, id, job):
        """Submits until there is a clear answer. Returns the status."""
        self.jobs[id] = job
        sent = dict(job, steps=[{name: value for name, value in it.items() if not name.startswith("real_")} for it in job["steps"]])
        for _ in range(30):
            status, answer = await self.consumer("POST", PREFIX + id, sent)
            self.record.line("consumer: POST", id, json.dumps(sent) if len(json.dumps(sent)) < 600 else "(long)", "->", status or answer)
            if status in (200, 201, 202):
                return status
            await asyncio.sleep(0.3)
        raise CannotRun("no submission was accepted")

    async def state(self, id):
        status, answer = await self.consumer("GET", PREFIX + id)
        return answer.get("state") if status == 200 else status

    async def finish(self):
        for name, it in self.processes.items():
            if it.returncode is None:
                it.send_signal(signal.SIGCONT)
                it.send_signal(signal.SIGKILL)
            await it.wait()
        self.record.line("the processes are ended")
        for it in self.executors.values():
            it.is_up = False
            it.http.crash()
        if self.cloud:
            self.cloud.http.crash()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1, **service):
    return {"version": version,
            "routes": [{"name": "r-w63is47", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 2500, "priority": 0,
                        "service": "huvo", "maxAttempts": 3, "stretch": 2.2, "public": False}],
            "services": [dict({"name": "huvo", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "rejectsOverload": False, "spare": False}, **service)],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "weight": 34, "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def main(world, play):
    """Runs the case. `play(world, trouble)` returns what breaks the rule, or an empty list. Exits as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # A script that is told to stop ends its processes, too.
        for it in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(it, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(115):
                return await play(world, trouble)
        finally:
            await world.finish()
    try:
        broken = asyncio.run(run())
    # Status 1 is for a broken rule only.
    except (Exception, asyncio.CancelledError) as error:
        world.record.line("could not run:", type(error).__name__, error)
        print("could not run:", type(error).__name__, error)
        sys.exit(2)
    for it in broken:
        world.record.line("BROKEN", it)
        print("broken:", it)
    if not broken:
        world.record.line("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
