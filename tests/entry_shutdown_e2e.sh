#!/usr/bin/env bash
# Guards against an entry that stops serving before the load balancer can notice, does not exit after SIGTERM, ignores a
# second signal, is ready before endpoints had time to announce themselves, or accepts invalid settings with --check.
# Usage: tests/entry_shutdown_e2e.sh BUILD_DIR
set -euo pipefail
entry=$(realpath "$1")/bin/vanillalift-entry
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true; rm -rf "$folder"' EXIT
fail() { echo "FAILED: $1" >&2; cat "$folder/log" >&2; exit 1; }

# start DRAIN_NOTICE_MS: starts the entry on free ports and reads them from its log.
start() {
    echo "{ \"name\": \"entry-1\", \"zone\": \"z1\", \"caller_port\": 0, \"announce_port\": 0, \"admin_port\": 0,
        \"catalog_file\": \"examples/demo/catalog.json\", \"drain_notice_ms\": $1 }" > "$folder/entry.json"
    "$entry" "$folder/entry.json" 2> "$folder/log" &
    pid=$!
    for _ in $(seq 200); do
        grep -q 'serves callers' "$folder/log" && break
        sleep 0.05
    done
    callers=$(sed -n 's/.*callers on port \([0-9]*\).*/\1/p' "$folder/log")
    admin=$(sed -n 's/.*administration on port \([0-9]*\).*/\1/p' "$folder/log")
}
status() { curl -s -o /dev/null -m 10 -w '%{http_code}' "http://127.0.0.1:$1" || true; }
# expect_exit STATUS: waits for the entry to exit and checks its exit status.
expect_exit() {
    local rc=0
    wait "$pid" || rc=$?
    pid=
    [ "$rc" = "$1" ] || fail "exit status $rc instead of $1"
}

before=$(date +%s%N)
start 3000
"$entry" --check "$folder/entry.json" || fail "--check rejected valid settings"
for _ in $(seq 200); do
    ready=$(status "$admin/readyz")
    [ "$ready" = 200 ] && break
    sleep 0.05
done
[ "$ready" = 200 ] || fail "not ready"
[ $(($(date +%s%N) - before)) -ge 1500000000 ] || fail "ready before endpoints can have announced themselves"
kill -TERM "$pid"
for _ in $(seq 40); do
    ready=$(status "$admin/readyz")
    [ "$ready" = 503 ] && break
    sleep 0.05
done
[ "$ready" = 503 ] || fail "still ready after SIGTERM"
[ "$(status "$callers/s/quote/")" = 401 ] || fail "callers are not served during the drain notice"
expect_exit 0
grep -q 'has stopped' "$folder/log" || fail "did not finish its shutdown"

start 600000
kill -INT "$pid"
for _ in $(seq 200); do
    grep -q 'is shutting down' "$folder/log" && break
    sleep 0.05
done
kill -TERM "$pid"
expect_exit 143

echo '{ "name": "Entry" }' > "$folder/bad.json"
rc=0
"$entry" --check "$folder/bad.json" 2> "$folder/faults" || rc=$?
[ "$rc" = 2 ] || fail "--check exited with $rc on invalid settings"
grep -q 'bad.json/zone: is required' "$folder/faults" || fail "--check did not name the missing field"
