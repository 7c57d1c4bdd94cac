"""Process control, CPU time and memory of processes, and a relay that counts bytes, for scripts/measure-capacity."""

import http.client
import json
import os
import socket
import subprocess
import sys
import threading
import time


def until(condition, seconds=30):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if result is not None and result is not False and result != []:
            return result
        time.sleep(0.01)
    sys.exit(f"condition not met within {seconds} s")


def fetch(port, path):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read().decode()
        return body if response.status == 200 else None
    except OSError:
        return None
    finally:
        connection.close()


s_connections = threading.local()


def call(port, method, params=None):
    """Calls a JSON-RPC method over a keep-alive connection. @returns its result, or None."""
    pool = s_connections.__dict__.setdefault("kept", {})
    connection = pool.get(port) or http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params or {}})
        connection.request("POST", "/rpc", body, {"Content-Type": "application/json"})
        result = json.loads(connection.getresponse().read()).get("result")
        pool[port] = connection
        return result
    except (OSError, ValueError, http.client.HTTPException):
        pool.pop(port, None)
        connection.close()
        return None


def cpu_seconds(pid):
    """User and system time of all threads. schedstat counts nanoseconds, but only for threads that are still running."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    nanos = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{task}/schedstat") as file:
                nanos += int(file.read().split()[0])
        except OSError:
            pass
    return max(ticks, nanos / 1e9)


class Process:
    s_running = []

    def __init__(self, binary, path, settings, options=()):
        self.arguments = (binary, path, settings, options)
        if path:
            with open(path, "w") as file:
                json.dump(settings, file)
        command = [binary, *options] + ([path] if path else [])
        self.process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        Process.s_running.append(self)

    def cpu(self):
        return cpu_seconds(self.process.pid)

    def resident_kb(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))

    def stop(self):
        self.process.terminate()
        try:
            self.process.wait(15)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    @staticmethod
    def kill_all():
        for it in Process.s_running:
            it.kill()


class Relay:
    """Forwards connections and counts the bytes of both directions for the processes at both ends."""

    def __init__(self):
        self.counts = {}
        self.lock = threading.Lock()
        self.listeners = []

    def open(self, port, target, caller, callee):
        listener = socket.create_server(("127.0.0.1", port))
        self.listeners.append(listener)
        threading.Thread(target=self.accept, args=(listener, target, (caller, callee)), daemon=True).start()
        return port

    def accept(self, listener, target, names):
        while True:
            try:
                caller_socket, _ = listener.accept()
            except OSError:
                return
            try:
                callee_socket = socket.create_connection(("127.0.0.1", target))
            except OSError:
                caller_socket.close()
                continue
            for source, sink in ((caller_socket, callee_socket), (callee_socket, caller_socket)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.forward, args=(source, sink, names), daemon=True).start()

    def forward(self, source, sink, names):
        try:
            while data := source.recv(65536):
                with self.lock:
                    for it in names:
                        self.counts[it] = self.counts.get(it, 0) + len(data)
                sink.sendall(data)
        except OSError:
            pass
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def totals(self):
        with self.lock:
            return dict(self.counts)

    def close(self):
        for it in self.listeners:
            it.shutdown(socket.SHUT_RDWR)
            it.close()
