#!/usr/bin/env bash
# Guards against control processes that do not form a group, lose their state, or elect no new leader after a kill.
# Usage: tests/control_e2e.sh BUILD_DIR [FIRST_PORT]
set -euo pipefail
build=$1
port=${2:-27310}
folder=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2> /dev/null || true; done
    rm -rf "$folder"
}
trap cleanup EXIT

settings() {
    echo "{ // replica $1"
    echo "\"name\": \"r$1\", \"zone\": \"z$1\", \"data_folder\": \"$folder/r$1\", \"address\": \"127.0.0.1\", \"port\": $((port + $1)), \"operator_port\": $((port + 10 + $1)), \"admin_port\": $((port + 20 + $1)),"
    echo "\"peers\": {\"r$((($1 + 1) % 3))\": \"127.0.0.1:$((port + ($1 + 1) % 3))\", \"r$((($1 + 2) % 3))\": \"127.0.0.1:$((port + ($1 + 2) % 3))\"},"
    echo "\"token\": \"secret\", \"seed\": $(($1 + 1)) }"
}
start() {
    "$build/bin/vanillalift-control" "${@:2}" "$folder/r$1.json" 2>> "$folder/r$1.log" &
    pids[$1]=$!
}
for n in 0 1 2; do
    settings $n > "$folder/r$n.json"
    "$build/bin/vanillalift-control" --check "$folder/r$n.json"
done
"$build/bin/vanillalift-control" --version | grep -q vanillalift-control
start 0 --bootstrap
start 1
start 2
python3 - "$port" "${pids[@]}" << 'END'
import http.client, json, os, signal, sys, time

port, pids = int(sys.argv[1]), [int(pid) for pid in sys.argv[2:]]


def call(n, method, **params):
    # Operator methods have their own port; the bootstrap account is valid as there is no other account yet.
    isOperator = method != "replica_status"
    if isOperator:
        params |= {"account": "bootstrap", "secret": ""}
    connection = http.client.HTTPConnection("127.0.0.1", port + n + (10 if isOperator else 0), timeout=5)
    try:
        body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params})
        connection.request("POST", "/rpc", body, {"Authorization": "Bearer secret", "Content-Type": "application/json"})
        return json.loads(connection.getresponse().read()).get("result")
    except (OSError, ValueError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def until(condition):
    for _ in range(6000):
        result = condition()
        if result is not None:
            return result
        time.sleep(0.005)
    sys.exit("condition not met within 30 s")


def leader(among, votes):
    for n in among:
        status = call(n, "replica_status")
        if status and status["role"] == "leader" and sum(member["votes"] for member in status["members"]) >= votes:
            return n


until(lambda: leader([0], 1))
for n in (1, 2):
    status = until(lambda: call(n, "replica_status"))
    until(lambda: call(0, "replace_replica", name=status["name"], storage_id=status["storage_id"]))
killed = until(lambda: leader(range(3), 3))
time.sleep(1)
for n in range(3):
    fields = dict(line.split(":", 1) for line in open(f"/proc/{pids[n]}/status"))
    print(f"r{n}: resident {fields['VmRSS'].strip()}, threads {fields['Threads'].strip()}")
os.kill(pids[killed], signal.SIGKILL)
start = time.monotonic()
new = until(lambda: leader([n for n in range(3) if n != killed], 3))
print(f"leader r{killed} killed, r{new} leads after {1000 * (time.monotonic() - start):.0f} ms")
END
for n in 0 1 2; do kill -TERM "${pids[$n]}" 2> /dev/null || true; done
wait "${pids[@]}" || true
for n in 0 1 2; do start $n; done
python3 - "$port" << 'END'
import http.client, json, sys, time

for _ in range(600):
    for n in range(3):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", int(sys.argv[1]) + n, timeout=5)
            body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "replica_status", "params": {}})
            connection.request("POST", "/rpc", body, {"Authorization": "Bearer secret"})
            status = json.loads(connection.getresponse().read())["result"]
            if status["role"] == "leader" and sum(member["votes"] for member in status["members"]) == 3:
                sys.exit(0)
        except OSError:
            pass
    time.sleep(0.05)
sys.exit("no leader of three voters after all were restarted")
END
if "$build/bin/vanillalift-control" --bootstrap "$folder/r0.json" 2> /dev/null; then
    echo "--bootstrap accepted a data folder that is already in use" >&2
    exit 1
fi
