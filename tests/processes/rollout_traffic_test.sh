#!/usr/bin/env bash
# Moves the traffic of the platform's entries to another version: a good one is
# completed and gets all requests, also through a restarted entry, and the old
# replica none; a bad one is rolled back after a few requests, also if the
# leader is lost meanwhile, and gets no more.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh

use_free_addresses
start_fleet

# replica_address VERSION: the address of the stand-in with that version.
replica_address() {
  if [ "$1" = v1 ]; then echo "$replica"; else echo "$net.5${1#v}:8080"; fi
}
for version in v2 v3; do
  build/src/tanagerstall-standin --service s --address "$(replica_address $version)" \
    --entries "$net.99:1" 2>"$run/standin-$version.log" &
  pids+=($!)
done

# announce VERSION: announces a replica that runs it, until the script ends.
announce() {
  local born sequence=0 control
  born=$(date +%s%3N)
  while true; do
    sequence=$((sequence + 1))
    for control in "${controls[@]}"; do
      curl -s -o /dev/null -m 1 -X PUT -d "{\"service\":\"s\",\"address\":\"$(replica_address "$1")\",\"zone\":\"a\",\"version\":\"$1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":$sequence,\"born\":$born}" \
        "http://$control:8229/tanagerstall/instances/$1" && break
    done
    sleep 0.5
  done
}
# runs VERSION: prints how many requests its replica has run.
runs() { curl -sf "http://$(replica_address "$1")/executions" | jq '.bodies.load // 0'; }
# load ENTRY: sends requests through an entry until the script ends.
load() {
  while true; do
    send "$1" load >/dev/null || true
    sleep 0.02
  done
}
order() {
  local control
  for control in "${controls[@]}"; do
    [ "$(curl -s -o /dev/null -w '%{http_code}' -m 6 -X POST \
      -d "{\"service\":\"s\",\"to\":\"$1\",\"durationS\":$2}" \
      "http://$control:8229/tanagerstall/rollouts")" = 200 ] && return
  done
  return 1
}
# state_is STATE: succeeds if any control process says that the latest roll-out
# has the state.
state_is() {
  local control
  for control in "${controls[@]}"; do
    [ "$(curl -s -m 2 "http://$control:8229/tanagerstall/rollouts/s" | jq -r .state)" = "$1" ] && return
  done
  return 1
}

# The entries take only sealed responses for good ones, and on a kept connection
# only those that name their request, which the stand-in doesn't.
for version in v1 v2 v3; do
  wait_until curl -sf -o /dev/null -X POST -d '{"answer_header":"Tanagerstall-Response-Seal: s\r\nConnection: close"}' \
    "http://$(replica_address $version)/faults"
done

announce v1 &
pids+=($!)
wait_until accepts "${controls[0]}" 5
for i in 1 2; do
  wait_until reaches $i "$(ran probe)"
  for _ in 1 2 3; do
    load $i &
    pids+=($!)
  done
done

# A good version.
wait_until order v2 20
announce v2 &
pids+=($!)
wait_until state_is completed
sleep 1
old=$(runs v1)
new=$(runs v2)
kill -KILL "$(pid_of entry-2)"
start_entry 2
wait_until reaches 1 -1
sleep 3
[ "$(runs v1)" = "$old" ] || { echo "the old replica gets requests after the end"; exit 1; }
[ "$(runs v2)" -gt $((new + 20)) ] || { echo "the new replica gets no requests"; exit 1; }

# A bad version, whose leader is lost.
curl -sf -o /dev/null -X POST -d '{"break":"reset_after_execution"}' "http://$(replica_address v3)/faults"
wait_until order v3 30
announce v3 &
pids+=($!)
for i in 1 2 3; do
  if curl -sf "http://$net.$i:9464/metrics" | grep -q '^tanagerstall_leads 1'; then
    kill -KILL "$(pid_of control-$i)"
  fi
done
wait_until state_is rolled_back
sleep 1
bad=$(runs v3)
sleep 2
[ "$(runs v3)" = "$bad" ] || { echo "the bad version gets requests after the end"; exit 1; }
[ "$bad" -ge 1 ] && [ "$bad" -le 50 ] || { echo "the bad version got $bad requests"; exit 1; }
cat "$run"/control-*.log | grep '"event":"rollout completed"' | grep -q '"version":"v2"'
cat "$run"/control-*.log | grep '"event":"rollout rolled back"' | grep -q '"reason":"failures"'
echo "passed"
