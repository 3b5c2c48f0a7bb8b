#!/usr/bin/env bash
# Starts the stand-in platform, the workers and three entry instances of Norrström as
# separate processes on loopback addresses, and ends them on Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
hyssopweir=${HYSSOPWEIR:-.venv/bin/hyssopweir}
logs=$(mktemp -d)
pids=()

stop() {
  trap - EXIT
  kill "${pids[@]}" 2>/dev/null || true
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM

start() {
  "$hyssopweir" "${@:2}" 2>"$logs/$1.log" &
  pids+=("$!")
}

start platform standin examples/norrstrom.json --parts platform
start workers standin examples/norrstrom.json --parts workers
for name in kista-1 huddinge-1 arlanda-1; do
  start "$name" serve "examples/settings/$name.json"
done
echo "Logs: $logs"
echo "Callers: 127.0.0.11:8080 (kista-1), 127.0.0.12:8080 (huddinge-1), 127.0.0.13:8080 (arlanda-1)"
echo "Try: $hyssopweir instances --address 127.0.0.11:8080"
wait
