#!/usr/bin/env bash
# Starts a small deployment on loopback, drives it as operators and callers
# would, checks what comes back and stops it by planned stop.
# KEEP=1 leaves it running.
set -uo pipefail
cd "$(dirname "$0")/../.."

readonly run_dir=tmp/demo
readonly platform=http://127.0.0.1:18100
readonly operator_url=http://127.0.0.1:18131
readonly ledger=http://127.0.0.1:18151
readonly start_tries=100
readonly stop_tries=300

export JACINTHTHREAD_URL=http://127.0.0.1:18111
export JACINTHTHREAD_OPERATOR_URL=$operator_url

outside=()
daemons=()
failed=0

fail() {
  echo "demo: FAILED: $*" >&2
  failed=1
}

check() { # description, actual, expected
  if [ "$2" = "$3" ]; then
    echo "demo: ok: $1"
  else
    fail "$1: got '$2', want '$3'"
  fi
}

background() { # log name, command...
  local log=$run_dir/$1.log
  shift
  "$@" >"$log" 2>&1 &
}

start_outside() {
  background platform bin/standin platform --listen 127.0.0.1:18100
  outside+=($!)
  for i in 1 2 3 4; do
    background "engine-$i" bin/standin engine --name "engine-$i" --listen "127.0.0.1:1814$i"
    outside+=($!)
  done
  background ledger-1 bin/standin plain --name ledger-1 --listen 127.0.0.1:18151
  outside+=($!)
  wait_for "the stand-in platform" curl -sf "$platform/v1/hosts" || return 1
  curl -sf -X POST --data @examples/demo/hosts.json "$platform/admin/hosts"
}

start_daemons() {
  for d in a b c; do
    background "daemon-$d" bin/jacinththreadd --settings "examples/demo/daemon-$d.jsonc"
    daemons+=($!)
  done
  for i in 1 2 3; do
    wait_for "daemon $i" curl -sf "http://127.0.0.1:1813$i/healthz" || return 1
  done
}

wait_for() { # description, command...
  local what=$1
  shift
  for _ in $(seq $start_tries); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "$what did not come up"
  return 1
}

stop_all() {
  local pid
  for pid in "${daemons[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
  for pid in "${daemons[@]}"; do
    wait_stopped "$pid"
  done
  for pid in "${outside[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
}

wait_stopped() {
  for _ in $(seq $stop_tries); do
    if ! kill -0 "$1" 2>/dev/null; then
      wait "$1" || fail "process $1 stopped with status $?"
      return
    fi
    sleep 0.1
  done
  fail "process $1 did not stop"
  kill -KILL "$1"
}

roll_bundle() {
  local ctl=(bin/jacinththreadctl bundle) digest
  digest=$(JACINTHTHREAD_TOKEN=demo-operator-a bin/jacinththreadctl --json bundle propose \
    --change-id first --base 0 --note "first roll" examples/demo/bundle.jsonc | field digest)
  [ -n "$digest" ] || { fail "the bundle was not proposed"; return; }
  JACINTHTHREAD_TOKEN=demo-operator-b "${ctl[@]}" approve --digest "$digest" first || fail "approve"
  JACINTHTHREAD_TOKEN=demo-operator-b "${ctl[@]}" roll first || fail "roll"
  for i in 1 2 3; do
    wait_for "readiness of daemon $i" curl -sf "http://127.0.0.1:1813$i/readyz"
  done
}

# field prints a string or number of a JSON document on standard input.
field() { sed -nE "s/^ *\"$1\": \"?([^\",]*)\"?,?$/\1/p" | head -n 1; }

send() { bin/jacinththreadctl --json send "$@"; }

drive() {
  export JACINTHTHREAD_TOKEN=demo-token-north
  echo "demo: addresses to use:"
  bin/jacinththreadctl entries || fail "entries"
  check "a streamed counter query" \
    "$(send --model demo-model --class counter "What is the fee for 12 kW?" 2>/dev/null | field run)" ran
  check "a streamed batch request of another customer" \
    "$(JACINTHTHREAD_TOKEN=demo-token-south send --model demo-model --class batch "Draft an outlook" 2>/dev/null | field run)" ran
  local posting=(--service ledger --path postings --class posting --idempotency-key fee-4711 --body '{"fee":10}')
  check "a posting" "$(send "${posting[@]}" 2>/dev/null | field run)" ran
  check "the same posting again" "$(send "${posting[@]}" 2>/dev/null | field run)" ran
  check "runs of the posting at the service" "$(curl -s "$ledger/admin/runs" | grep -o '"key":"north-desk:fee-4711"' | wc -l)" 1
  bin/jacinththreadctl load --quiet examples/demo/workload.jsonc || fail "load"
}

# show_spans prints the hops of the traced request, in order of their start.
show_spans() {
  local trace
  trace=$(cat $run_dir/spans-*.jsonl | grep '"Name":"dispatch"' | head -n 1 |
    sed -E 's/.*"TraceID":"([0-9a-f]+)".*/\1/')
  echo "demo: spans of trace $trace:"
  cat $run_dir/spans-*.jsonl | grep -F "\"SpanContext\":{\"TraceID\":\"$trace\"" |
    sed -E 's/.*"Name":"([^"]+)".*"StartTime":"[^T]+T([^Z]+)Z","EndTime":"[^T]+T([^Z]+)Z".*"service.instance.id","Value":\{"Type":"STRING","Value":"([^"]+)".*/\2 \3 \4 \1/' |
    sort | awk '{printf "  %-10s %-12s %s to %s\n", $3, $4, $1, $2}'
  local hops
  hops=$(cat $run_dir/spans-*.jsonl | grep -F "\"TraceID\":\"$trace\"" | grep -oE '"Name":"(gateway|reservation|schedule|dispatch)"' | sort -u | wc -l)
  check "hops with a span" "$hops" 4
}

rm -rf $run_dir
mkdir -p $run_dir
trap 'stop_all; exit 1' INT TERM

if start_outside && start_daemons; then
  roll_bundle
  drive
fi

if [ "${KEEP:-0}" = 1 ] && [ $failed = 0 ]; then
  echo "demo: left running; callers' address $JACINTHTHREAD_URL, operators' address $operator_url"
  echo "demo: stop it with: kill ${daemons[*]} && kill ${outside[*]}"
  exit 0
fi

stop_all
show_spans
if [ $failed = 0 ]; then
  echo "demo: all checks passed"
fi
exit $failed
