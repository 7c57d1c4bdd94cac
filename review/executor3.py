"""A sound executor, as PROTOCOL.md describes it, in a process of its own. Its settings come as a JSON object in the first argument.

A task's spec is a JSON object: "ms" (run time), "fails" (ends failed after that time), "lasts" (runs until it is stopped), "first_fails"
(the name of a work unit whose first run ends failed after "ms", although it lasts).
Each event is one JSON line in the file `record`, with the time on the machine's steady clock.
"""
import http.client
import http.server
import json
import os
import sys
import threading
import time

SETTINGS = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)
STARTED = time.monotonic()
LOCK = threading.Condition()
RECORD = open(SETTINGS["record"], "a")


def clock_ms():
    return int((time.monotonic() - STARTED) * 1000)


def record(event, **fields):
    # One write a line: a process that is killed leaves no half of one.
    line = {"t": round(time.monotonic(), 3), "executor": SETTINGS["id"], "born": BORN, "event": event, **fields}
    RECORD.write(json.dumps(line) + "\n")
    RECORD.flush()


class State:
    def __init__(self):
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.highest_ended = {}
        self.ended = []
        self.last_end = 0


STATE = State()


def end(key, how):
    run = STATE.running.pop(key)
    task, number = key
    STATE.highest_ended[task] = max(STATE.highest_ended.get(task, 0), number)
    STATE.last_end += 1
    STATE.ended.append([STATE.last_end, task, number, how, ""])
    record("end", task=task, run=number, how=how, ms=round((time.monotonic() - run["at"]) * 1000))
    LOCK.notify_all()


def advance():
    """Ends what has come to its end. Called with the lock held."""
    now = time.monotonic()
    for key, run in list(STATE.running.items()):
        if run["stop_at"] and now >= run["stop_at"]:
            end(key, "stopped")
        elif run["end_at"] and now >= run["end_at"]:
            end(key, "failed" if run["fails"] else "done")
    if STATE.running and clock_ms() > STATE.lease_ms:
        for key in list(STATE.running):
            end(key, "lapsed")


def percent(run):
    elapsed = time.monotonic() - run["at"]
    if run["fails"] and not run["lasts"]:
        return 0
    if not run["lasts"]:
        return min(99, int(100 * elapsed / (run["end_at"] - run["at"])))
    return min(100, int(100 * elapsed / 0.3))


def take_lease(body):
    if "deadlineMs" in body:
        longest = clock_ms() + SETTINGS.get("max_hold_ms", 10000)
        STATE.lease_ms = max(STATE.lease_ms, min(body["deadlineMs"], longest))


def start(body):
    key = (body["task"], body["run"])
    record("order", order="start", task=key[0], run=key[1], fence=body.get("fence", 0))
    time.sleep(SETTINGS.get("start_ms", 0) / 1000)
    with LOCK:
        advance()
        if body.get("fence", 0) < STATE.fence:
            return 409, {"reason": "fence"}
        STATE.fence = body.get("fence", 0)
        if key in STATE.running:
            return 200, {}
        if body["deadlineMs"] <= clock_ms():
            return 409, {"reason": "late"}
        take_lease(body)
        if key[1] <= STATE.highest_ended.get(key[0], 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        now = time.monotonic()
        fails_once = key == (spec.get("first_fails"), 1)
        lasts = spec.get("lasts", False) and not fails_once
        STATE.running[key] = {"at": now, "end_at": None if lasts else now + spec["ms"] / 1000, "fails": spec.get("fails", False) or fails_once,
                              "lasts": spec.get("lasts", False), "stop_at": None}
        record("run", task=key[0], run=key[1], service=SETTINGS["service"], labels=SETTINGS["labels"])
        return 200, {}


def stop(body):
    key = (body["task"], body["run"])
    with LOCK:
        advance()
        if body.get("fence", 0) < STATE.fence:
            return 409, {"reason": "fence"}
        STATE.fence = body.get("fence", 0)
        record("order", order="stop", task=key[0], run=key[1])
        STATE.highest_ended[key[0]] = max(STATE.highest_ended.get(key[0], 0), key[1])
        if key in STATE.running and not STATE.running[key]["stop_at"]:
            STATE.running[key]["stop_at"] = time.monotonic() + 0.1
        return 200, {}


def hold(body):
    with LOCK:
        advance()
        if body.get("fence", 0) < STATE.fence:
            return 409, {"reason": "fence"}
        STATE.fence = body.get("fence", 0)
        take_lease(body)
        acked = body.get("ackedThrough", 0)
        if any(it[0] <= acked for it in STATE.ended):
            record("acked", through=acked, ends=[it[1:4] for it in STATE.ended if it[0] <= acked])
        STATE.ended = [it for it in STATE.ended if it[0] > acked]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not STATE.ended and time.monotonic() < until:
            LOCK.wait(0.02)
            advance()
        running = [[task, run, "", percent(it), 0] for (task, run), it in STATE.running.items()]
        return 200, {"born": BORN, "running": running, "ended": STATE.ended[:500]}


def pace(body):
    return 200, {}


CALLS = {"/-/run-start": start, "/-/run-stop": stop, "/-/hold": hold, "/-/pace": pace}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
        if self.headers.get("X-Expect-Instance", SETTINGS["id"]) != SETTINGS["id"]:
            status, answer = 421, {}
        else:
            status, answer = CALLS[self.path](body)
        text = json.dumps({"clockMs": clock_ms(), **answer}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def log_message(self, *arguments):
        pass


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64


def ping(sequence, address):
    """Returns whether the ping was acknowledged, and the address for the next one if one was named."""
    body = {"service": SETTINGS["service"], "addr": SETTINGS["addr"], "zone": SETTINGS["zone"], "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "capacity": SETTINGS["capacity"], "labels": SETTINGS["labels"], "machine": SETTINGS["machine"], "clockMs": clock_ms(), "seq": sequence, "born": BORN}
    connection = http.client.HTTPConnection(*address.split(":"), timeout=1)
    try:
        connection.request("PUT", "/-/instances/" + SETTINGS["id"], json.dumps(body), {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        if response.status // 100 != 2:
            return False, None
        return True, json.loads(text or b"{}").get("heartbeatAddr")
    except (OSError, ValueError, http.client.HTTPException):
        return False, None
    finally:
        connection.close()


def send_pings():
    sequence = 0
    named = None
    was_acked = False
    while True:
        for address in ([named] if named else []) + SETTINGS["controls"]:
            sequence += 1
            is_acked, next_address = ping(sequence, address)
            if is_acked:
                if not was_acked:
                    record("ping-acked", labels=SETTINGS["labels"])
                was_acked = True
                named = next_address or named
                break
            named = None
        time.sleep(SETTINGS["heartbeat_ms"] / 1000)


def tick():
    while True:
        with LOCK:
            advance()
        time.sleep(0.02)


def main():
    ip, port = SETTINGS["addr"].split(":")
    server = Server((ip, int(port)), Handler)
    record("boot", pid=os.getpid(), service=SETTINGS["service"], labels=SETTINGS["labels"])
    threading.Thread(target=tick, daemon=True).start()
    threading.Thread(target=send_pings, daemon=True).start()
    server.serve_forever()


main()
