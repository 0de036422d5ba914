#!/usr/bin/env bash
# Runs the deployments of the demo side by side, each as separate processes on loopback:
# stand-ins, nodes and a caller. In each, one node is killed and one is shut down
# gracefully during the calls. Prints a table for each and stops all its processes.
# Usage: PYTHON=... demo/run.sh [cake-stands:8 gloves:7]
# LOGS: folder to copy the logs to. SECONDS_HELD: duration of the calls in seconds.
set -u
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=$PWD
PYTHON=${PYTHON:-python3.11}
SECONDS_HELD=${SECONDS_HELD:-20}
KILL_AFTER=6      # seconds from the first call until node-2 is killed
LISTED_AFTER=3    # further seconds until the platform's list omits node-2
LEAVE_AFTER=2     # further seconds until node-3 leaves
[ $# -gt 0 ] || set -- cake-stands:8 gloves:7

work=$(mktemp -d) || exit 1
pids=()
declare -A pid_of

stop_all() {
    trap - EXIT INT TERM
    kill -TERM "${pids[@]}" 2>/dev/null
    for _ in $(seq 50); do
        kill -0 "${pids[@]}" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
    [ -n "${LOGS:-}" ] && mkdir -p "$LOGS" && cp -r "$work"/* "$LOGS"
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start_deployment() {
    local name=$1 folder=$work/$1 process arguments
    while read -r process arguments; do
        # shellcheck disable=SC2086  # split the arguments into words
        "$PYTHON" -m peridotcove $arguments >"$folder/$process.log" 2>&1 &
        pids+=($!)
        pid_of[$name/$process]=$!
    done <"$folder/commands"
}

inject_failures() {
    local name=$1 folder=$work/$1 url
    url=$(cat "$folder/platform-url")
    until grep -q '^calling' "$folder/caller.log"; do
        kill -0 "${pid_of[$name/caller]}" 2>/dev/null || return
        sleep 0.1
    done
    sleep "$KILL_AFTER"
    kill -KILL "${pid_of[$name/node-2]}" && echo "$name: node-2 killed"
    sleep "$LISTED_AFTER"
    "$PYTHON" demo/publish.py "$url" "$folder/put-killed.json"
    sleep "$LEAVE_AFTER"
    "$PYTHON" demo/publish.py "$url" "$folder/put-leaving.json"
    kill -TERM "${pid_of[$name/node-3]}" && echo "$name: node-3 is leaving"
}

for item in "$@"; do
    mkdir "$work/${item%%:*}"
    "$PYTHON" demo/prepare.py "demo/${item%%:*}.jsonc" "${item##*:}" \
        "$work/${item%%:*}" || exit 1
    start_deployment "${item%%:*}"
done
echo "started ${#pids[@]} processes; calling for $SECONDS_HELD s"

callers=()
injectors=()
for item in "$@"; do
    name=${item%%:*}
    "$PYTHON" -m peridotcove demo-caller "$work/$name/plan.json" \
        --seconds "$SECONDS_HELD" >"$work/$name/caller.log" 2>&1 &
    pids+=($!)
    pid_of[$name/caller]=$!
    callers+=($!)
    inject_failures "$name" &
    injectors+=($!)
done
wait "${injectors[@]}"
status=0
for pid in "${callers[@]}"; do
    wait "$pid" || status=1
done
for item in "$@"; do
    echo
    grep -v '^calling' "$work/${item%%:*}/caller.log"
done
if [ "$status" != 0 ]; then
    for log in "$work"/*/*.log; do
        case $log in */caller.log) continue ;; esac
        [ -s "$log" ] && { echo "--- ${log#"$work"/}"; grep -v '"level": *"INFO"' "$log" | tail -n 5; }
    done
fi
exit "$status"
