"""Histories of concurrent operator calls on one register (the upper limit of the team "register"), and a linearizability check."""

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
    """Each call reports the revision at which it took effect, which gives the order: by revision, and the write of a
    revision before its reads. The history is linearizable if that order contradicts neither the values nor the order
    of calls that do not overlap."""
    writes = {}
    ordered = []
    found = []
    for it in events:
        if it["kind"] == "read":
            ordered.append((it["revision"], False, it))
        elif it["outcome"]["accepted"]:
            revision = it["outcome"]["revision"]
            if revision in writes or revision != it["base"] + 1:
                found.append(("revision written twice, or not directly after its base", it))
            writes[revision] = it["value"]
            ordered.append((revision, True, it))
        elif it["outcome"]["fault"] != "conflict" or it["outcome"]["revision"] <= it["base"]:
            found.append(("rejected without a newer revision", it))
        else:
            ordered.append((it["outcome"]["revision"], False, it))
    for revision, _, it in ordered:
        known = [key for key in writes if key <= revision]
        if it["kind"] == "read" and known and it["value"] != writes[max(known)]:
            found.append(("read the value of another revision", it))
    for revision, is_write, later in ordered:
        for other, _, earlier in ordered:
            if earlier["end"] < later["begin"] and (other > revision or (is_write and other == revision)):
                found.append(("contradicts the order of the calls", earlier, later))
    return found


def check_self(events):
    """Verifies that the check detects a stale read and a write that was accepted twice."""
    stale = copy.deepcopy(events)
    last = max((it for it in stale if it["kind"] == "read"), key=lambda it: it["begin"])
    last["revision"] -= 2
    assert violations(stale), "a stale read was not detected"
    duplicated = copy.deepcopy(events)
    duplicated.append(next(it for it in duplicated if it["kind"] == "write" and it["outcome"]["accepted"]))
    assert violations(duplicated), "a duplicated write was not detected"
