#!/usr/bin/env bash
# Starts a node, four engine stand-ins and a platform stand-in, and runs the relay bench.
# Usage: PYTHON=... tools/bench_relay.sh [options of `peridotcove bench relay`]
set -u
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=$PWD
export ENGINE_OPTIONS="--capacity 2000 --token-ms 29 --prefill-rate 1000000"
PYTHON=${PYTHON:-python3.11}
work=$(mktemp -d) || exit 1
pids=()

stop_all() {
    trap - EXIT INT TERM
    kill -TERM "${pids[@]}" 2>/dev/null
    sleep 1
    kill -KILL "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

"$PYTHON" demo/prepare.py tools/relay.jsonc 1 "$work" || exit 1
while read -r process arguments; do
    # shellcheck disable=SC2086  # the arguments are words
    "$PYTHON" -m peridotcove $arguments >"$work/$process.log" 2>&1 &
    pids+=($!)
    [ "$process" = node-1 ] && node_pid=$!
done <"$work/commands"

urls=$("$PYTHON" - "$work/plan.json" <<'END'
import json, sys, time, urllib.error, urllib.request

plan = json.load(open(sys.argv[1]))
node = plan["nodes"][0]
for _ in range(300):
    try:
        urllib.request.urlopen(node["operators_url"] + "/ready", timeout=1)
        break
    except (OSError, urllib.error.URLError):
        time.sleep(0.1)
else:
    sys.exit("the node is not ready")
print("--node", node["callers_url"], *(f"--engine {x}" for x in plan["engine_urls"]))
END
) || { tail -n 5 "$work"/*.log; exit 1; }
# shellcheck disable=SC2086  # the URLs are words
"$PYTHON" -m peridotcove bench relay $urls --pid "$node_pid" "$@"
