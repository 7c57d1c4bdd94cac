"""Histories of concurrent operator calls on one register (the upper limit of the team "register"), and their check."""

import copy
import threading
import time


class History:
    def __init__(self, site):
        self.site, self.events, self.lock = site, [], threading.Lock()

    def add(self, kind, begin, **fields):
        with self.lock:
            self.events.append({"kind": kind, "begin": begin, "end": time.monotonic()} | fields)

    def read(self, client):
        begin = time.monotonic()
        result = self.site.call("read", kind="teams")
        value = next((it["upper_limit"] for it in result["items"] if it["name"] == "register"), None)
        self.add("read", begin, client=client, revision=result["revision"], value=value)
        return result["revision"], value

    def write(self, client, operation, base, value):
        begin = time.monotonic()
        change = {"kind": "put-team", "team": {"name": "register", "upper_limit": value}}
        outcome = self.site.call("propose", operation=operation, base_revision=base, change=change)
        self.add("write", begin, client=client, operation=operation, base=base, value=value, outcome=outcome)


def violations(events):
    """Each call states the revision at which it took effect, so the order is known: by revision, the write of a
    revision before its reads. The history is linearizable if that order contradicts neither the values nor the order
    of calls that do not overlap."""
    writes = {}
    placed = []
    found = []
    for it in events:
        if it["kind"] == "read":
            placed.append((it["revision"], False, it))
        elif it["outcome"]["accepted"]:
            revision = it["outcome"]["revision"]
            if revision in writes or revision != it["base"] + 1:
                found.append(("two writes of a revision, or not after its base", it))
            writes[revision] = it["value"]
            placed.append((revision, True, it))
        elif it["outcome"]["fault"] != "conflict" or it["outcome"]["revision"] <= it["base"]:
            found.append(("refused without a newer revision", it))
        else:
            placed.append((it["outcome"]["revision"], False, it))
    for revision, _, it in placed:
        known = [key for key in writes if key <= revision]
        if it["kind"] == "read" and known and it["value"] != writes[max(known)]:
            found.append(("value of another revision", it))
    for revision, is_write, later in placed:
        for other, _, earlier in placed:
            if earlier["end"] < later["begin"] and (other > revision or (is_write and other == revision)):
                found.append(("contradicts the order of the calls", earlier, later))
    return found


def check_self(events):
    """The check has to find a stale read and a write that was accepted twice."""
    stale = copy.deepcopy(events)
    last = max((it for it in stale if it["kind"] == "read"), key=lambda it: it["begin"])
    last["revision"] -= 2
    assert violations(stale), "a stale read was not found"
    doubled = copy.deepcopy(events)
    doubled.append(next(it for it in doubled if it["kind"] == "write" and it["outcome"]["accepted"]))
    assert violations(doubled), "a doubled write was not found"
