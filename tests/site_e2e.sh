#!/usr/bin/env bash
# Guards against requests that are executed twice, reported with a wrong outcome, interrupted or lost when endpoints
# truncate, swap, duplicate or drop responses or fail, one shuts down, one crashes, and an entry is killed and restarted.
# The history check gives the verdict.
# Usage: tests/site_e2e.sh BUILD_DIR [SEED] [REQUESTS] [ENTRY_KILLS] [REQUESTS_PER_SECOND]
set -euo pipefail
export BUILD_DIR=$(realpath "$1")
seed=${2:-1}
requests=${3:-3000}
kills=${4:-1}
rate=${5:-500}
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
cleanup() {
    rc=$?
    mapfile -t started < <(cd "$folder" && ls | sed -n 's/\.pid$//p')
    [ ${#started[@]} = 0 ] || scripts/site kill "$folder" "${started[@]}" || true
    if [ $rc = 0 ]; then rm -rf "$folder"; else echo "Settings, logs and histories are in $folder" >&2; fi
}
trap cleanup EXIT
scripts/make-site "$folder" 17500 examples/demo '"truncate": 0.02, "cross": 0.02, "fail_fast": 0.02, "close": 0.02, "twice": 0.02,'
# Ticket requests only, at a steady rate; callers resend every call without a known outcome, as the kills are not their fault.
sed -i -e '/"name": "quote"/d; /"name": "status"/d; s/"waves"/"steady"/; s/"seconds": 12/"seconds": 3000/' -e "s/\"rate\": 120 },/\"rate\": $rate }/" \
    -e "s/\"resend\": 0.8/\"resend\": 1, \"requests\": $requests/; s/\"max_resends\": 3/\"max_resends\": 8/; s/\"abandon\": 0.01/\"abandon\": 0.05/" "$folder/load.json"
scripts/site start "$folder"
"$BUILD_DIR/bin/vanillalift-bench" load --settings "$folder/load.json" --seed "$seed" --out "$folder/history" > "$folder/load.log" &
load_pid=$!
sleep 2
scripts/site stop "$folder" endpoint-ticket-1 &
stop_pid=$!
scripts/site kill "$folder" endpoint-ticket-2
# If an entry is lost while another one is still copying claims, they are unavailable until claim_recovery_ms, so wait
# until the restarted entry has copied them.
wait_claims_ready() {
    for _ in $(seq 400); do
        curl -s -m 2 "127.0.0.1:$1/metrics" | grep -q '^vanillalift_claims_ready 1' && return 0
        sleep 0.1
    done
    echo "FAILED: the restarted entry did not get the claims of the others" >&2
    exit 1
}
for ((n = 0; n < kills; ++n)); do
    sleep 1
    scripts/site kill "$folder" "entry-$((1 + n % 4))"
    sleep 0.5
    scripts/site start "$folder" "entry-$((1 + n % 4))"
    before=$(date +%s%N)
    wait_claims_ready $((17561 + n % 4))
    echo "entry-$((1 + n % 4)) was killed and got the claims $((($(date +%s%N) - before) / 1000000)) ms after it was ready"
done
wait "$stop_pid"
wait "$load_pid"
scripts/site stop "$folder"
rc=0
"$BUILD_DIR/bin/vanillalift-bench" check "$folder/history" > "$folder/check.log" || rc=$?
grep -v '^{' "$folder/check.log"
[ $rc = 0 ] || exit 1
# A run without load, faults or resends proves nothing.
sent=$(grep -o '"request":"[^"]*"' "$folder/history/calls.jsonl" | sort -u | wc -l)
[ "$sent" -ge "$requests" ] || { echo "FAILED: only $sent requests were sent" >&2; exit 1; }
grep -q '"call":"[^"]*\.1"' "$folder/history/calls.jsonl" || { echo "FAILED: nothing was sent again" >&2; exit 1; }
for reason in answer-truncated answer-crossed endpoint-failed; do
    grep -q "\"reason\":\"$reason\"" "$folder/history/calls.jsonl" || { echo "FAILED: no call ended with $reason" >&2; exit 1; }
done
