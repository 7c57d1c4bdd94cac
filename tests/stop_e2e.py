"""Stops gateways and controllers of a site while clients keep their connections and send one request after the other.

Every request that a client could send has to be answered. Connections that are refused while no process listens are counted only.
"""
import selectors
import signal
import socket
import sys
import threading
import time

from plain_site import CLIENT_PORT, CONTROL_PORT, KEY, Site, wait_for

NET = "127.0.75"
GRACE_S = 6
READ_JOB = f"GET /jobs/none HTTP/1.1\r\nHost: plain.example\r\nX-Credential: {KEY}\r\nX-Deadline-Ms: 3000\r\n\r\n".encode()
READ_CONFIG = b"GET /-/config HTTP/1.1\r\nHost: x\r\n\r\n"


class Client:
    """One connection to one address, kept until an answer says that it ends. Between two requests the client does not look at it."""

    retry_s = 0.02
    pause_s = 0.005
    connect_timeout_s = 3
    answer_timeout_s = 8

    def __init__(self, address, request):
        self.address, self.request = address, request
        self.socket, self.input, self.has_sent, self.due_at = None, b"", False, 0
        self.is_connecting = False


class Clients:
    """Clients on one thread. Answers are counted by status; `unanswered` lists why a request that was sent got none."""

    def __init__(self, targets, count):
        """targets: (ip, port, request) of each kind of client; the clients are spread over them."""
        self.statuses, self.refused, self.unanswered, self.is_stopping = {}, 0, [], False
        self.selector = selectors.DefaultSelector()
        self.clients = [Client((targets[n % len(targets)][0], targets[n % len(targets)][1]), targets[n % len(targets)][2]) for n in range(count)]
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.is_stopping or any(it.has_sent for it in self.clients):
            now = time.monotonic()
            for it in self.clients:
                if now >= it.due_at:
                    self.act(it, now)
            for key, _ in self.selector.select(0.005):
                self.receive(key.data) if not key.data.is_connecting else self.connected(key.data)
        for it in self.clients:
            self.close(it)

    def act(self, it, now):
        """Carries out what is due: a time-out, a new connection, or the next request."""
        if it.has_sent:
            self.unanswered.append(f"{it.address[0]}: no answer in time")
            return self.close(it)
        if self.is_stopping or it.is_connecting:
            return self.close(it) if it.is_connecting else None
        if it.socket is None:
            it.socket = socket.socket()
            it.socket.setblocking(False)
            it.is_connecting, it.due_at = True, now + it.connect_timeout_s
            it.socket.connect_ex(it.address)
            return self.selector.register(it.socket, selectors.EVENT_WRITE, it)
        it.has_sent, it.due_at, it.input = True, now + it.answer_timeout_s, b""
        self.selector.register(it.socket, selectors.EVENT_READ, it)
        try:
            it.socket.send(it.request)
        except OSError as error:
            self.unanswered.append(f"{it.address[0]}: {type(error).__name__} while sending")
            self.close(it)

    def connected(self, it):
        if it.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
            self.refused += 1
            self.close(it)
            it.due_at = time.monotonic() + it.retry_s
            return
        it.is_connecting, it.due_at = False, 0
        self.selector.unregister(it.socket)

    def receive(self, it):
        try:
            part = it.socket.recv(65536)
        except OSError as error:
            part, reason = b"", type(error).__name__
        else:
            reason = "end of input"
        if not part:
            if it.has_sent:
                self.unanswered.append(f"{it.address[0]}: {reason} after {len(it.input)} B")
            return self.close(it)
        it.input += part
        head, end, body = it.input.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]) if end else {}
        if not end or len(body) < int(fields.get(b"content-length", b"0")):
            return
        status = int(head.split()[1])
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.selector.unregister(it.socket)
        it.has_sent, it.due_at = False, time.monotonic() + it.pause_s
        if fields.get(b"connection") == b"close":
            self.close(it)

    def close(self, it):
        if it.socket is not None:
            if it.has_sent or it.is_connecting:
                self.selector.unregister(it.socket)
            it.socket.close()
        it.socket, it.is_connecting, it.has_sent, it.due_at = None, False, False, time.monotonic() + it.pause_s

    def stop(self):
        self.is_stopping = True
        self.thread.join()


class Stops:
    def __init__(self, build):
        self.site = Site(build, NET).start()
        self.failures = []
        self.check("the site starts", wait_for(self.site.is_ready, 20) and self.site.put_catalog())

    def check(self, what, holds, detail=""):
        if not holds:
            self.failures.append(what)
        print(f"{'ok' if holds else 'FAILED'}: {what} {detail}", flush=True)

    def gateway_targets(self):
        return [(self.site.ips[it], CLIENT_PORT, READ_JOB) for it in self.site.gateways]

    def controller_targets(self):
        return [(self.site.ips[it], CONTROL_PORT, READ_CONFIG) for it in self.site.controllers]

    def await_end(self, names):
        """Waits until the processes have ended. Returns the longest time and the exit statuses."""
        begun = time.monotonic()
        for name in names:
            try:
                self.site.processes[name].wait(GRACE_S + 4)
            except Exception:
                self.failures.append(f"{name} does not end")
        return time.monotonic() - begun, [self.site.processes[it].poll() for it in names]

    def stop(self, names, times=1):
        for _ in range(times):
            for name in names:
                self.site.signal(name, signal.SIGTERM)
            time.sleep(0.01)
        return self.await_end(names)

    def play(self, what, targets, count, groups, times=1, settle_s=1.0):
        """Stops and starts each group of processes in turn, while clients send requests."""
        clients = Clients(targets, count)
        time.sleep(0.5)
        for names in groups:
            waited, statuses = self.stop(names, times)
            self.check(f"{what}: {'+'.join(names)} end in time", statuses == [0] * len(names) and waited < GRACE_S, f"{waited:.2f} s, status {statuses}")
            for name in names:
                self.site.launch(name)
            time.sleep(settle_s)
        clients.stop()
        self.check(f"{what}: no request without an answer", not clients.unanswered and clients.statuses,
                   f"answers {clients.statuses}, refused {clients.refused}, unanswered {len(clients.unanswered)} {sorted(set(clients.unanswered))}")

    def play_start(self, what, targets, name, delays):
        """SIGTERM at several times after the start of a process."""
        clients = Clients(targets, 40)
        self.stop([name])
        for delay in delays:
            self.site.launch(name)
            time.sleep(delay)
            waited, _ = self.stop([name])
            self.check(f"{what}: {name} ends in time {delay} s after its start", waited < GRACE_S, f"{waited:.2f} s, status {self.site.processes[name].poll()}")
        self.site.launch(name)
        time.sleep(0.5)
        clients.stop()
        self.check(f"{what}: no request without an answer", not clients.unanswered,
                   f"answers {clients.statuses}, refused {clients.refused}, unanswered {len(clients.unanswered)} {sorted(set(clients.unanswered))}")

    def play_idle(self, what, name, port, request, idle_s):
        """A client that sends its next request some time after the process was told to stop."""
        with socket.create_connection((self.site.ips[name], port), timeout=GRACE_S) as connection:
            connection.sendall(request)
            is_kept = b"connection: close" not in connection.recv(65536).lower()
            self.site.signal(name, signal.SIGTERM)
            time.sleep(idle_s)
            answer = b""
            try:
                connection.sendall(request)
                answer = connection.recv(65536)
            except OSError as error:
                print(f"{what}: {type(error).__name__}")
        waited, statuses = self.await_end([name])
        self.check(f"{what}: the next request on an idle connection is answered as the last one", is_kept and b"connection: close" in answer.lower(), answer[:40])
        self.check(f"{what}: {name} ends in time", statuses == [0] and idle_s + waited < GRACE_S, f"{idle_s + waited:.2f} s, status {statuses}")
        self.site.launch(name)

    def run(self):
        gateways, controllers = self.site.gateways, self.site.controllers
        one_each = [[it] for it in controllers]
        self.play("gateways in turn", self.gateway_targets(), 40, [[it] for it in gateways])
        self.play("controllers in turn", self.controller_targets(), 40, one_each)
        self.play("controllers in turn, twice each, seen by clients of gateways", self.gateway_targets(), 40, one_each, times=2)
        self.play("200 clients, two controllers and a gateway at once", self.gateway_targets() + self.controller_targets(), 200, [controllers[:2] + gateways[:1]])
        self.play("all at once", self.gateway_targets() + self.controller_targets(), 40, [controllers + gateways], times=2, settle_s=2.0)
        self.check("the site serves again", wait_for(self.site.is_ready, 20))
        self.play_idle("idle client of a controller", controllers[0], CONTROL_PORT, READ_CONFIG, 2)
        self.play_idle("idle client of a gateway", gateways[1], CLIENT_PORT, READ_JOB, 4)
        self.play_start("controller's start", self.controller_targets(), controllers[0], (0.05, 0.3))
        self.play_start("gateway's start", self.gateway_targets(), gateways[0], (0.05,))
        self.check("the site serves again", wait_for(self.site.is_ready, 20))
        self.site.end()
        return self.failures


if __name__ == "__main__":
    begun = time.monotonic()
    failures = Stops(sys.argv[1]).run()
    print(f"{time.monotonic() - begun:.0f} s, failed: {failures}")
    sys.exit(1 if failures else 0)
