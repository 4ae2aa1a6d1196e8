#!/usr/bin/env bash
# Moves the traffic of the platform's entries to another version: a good one is
# completed and gets all requests, also through a restarted entry, and the old
# replica none; a bad one is rolled back after a few requests, also if the
# leader is lost meanwhile, and gets no more. Guards against traffic that
# remains at a replica after the end of a roll-out, and against a wrong end.
set -euo pipefail
source tools/scripts/lib.sh
source tests/processes/platform_lib.sh

# A disk that stalls for longer than the roll-out takes costs the control
# processes their quorum, and the roll-out then ends at its deadline. Their logs
# are kept in memory, since this test is not about disks.
run=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d)
# In seconds, for the whole test.
limit=200

# show_logs: prints what the control processes logged of roll-outs, of their
# leader and of delays, and the entries' last events other than answers.
show_logs() {
  echo "the control processes' logs, at $(date +%s%3N):"
  grep -hE '"event":"(rollout|leads|no longer leads|control thread|control lost|replica expired)' \
    "$run"/control-*.log | sort | tail -n 80
  for i in 1 2; do
    echo "entry-$i:"
    grep -v '"event":"answered"' "$run/entry-$i.log" | tail -n 10
  done
}
finish() {
  local status=$?
  [ "$status" = 0 ] || show_logs >&2
  kill_all
  rm -rf "$run"
}
trap finish EXIT
fail() { echo "FAILED: $*" >&2; exit 1; }
# await COMMAND...: repeats a command until it succeeds or the test's time is up.
await() {
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$limit" ] || fail "gave up on: $*"
    sleep 0.1
  done
}

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
runs() {
  curl -sf -m 5 "http://$(replica_address "$1")/executions" | jq '[.bodies[]] | add // 0'
}
# served: prints how many requests the replicas of good versions have run.
served() { echo $(($(runs v1) + $(runs v2))); }
serves_more_than() { [ "$(served)" -gt "$1" ]; }
# load ENTRY: sends requests through an entry until the script ends.
load() {
  while true; do
    send "$1" load >/dev/null || true
    sleep 0.02
  done
}
is_answered() { [ "$(send "$1" probe)" = 200 ]; }
# is_unused VERSION: sends requests through both entries; succeeds if none of
# them, and none of the load meanwhile, runs at its replica.
is_unused() {
  local before entry
  before=$(runs "$1")
  for entry in 1 2; do
    for _ in $(seq 10); do is_answered $entry || return 1; done
  done
  [ "$(runs "$1")" = "$before" ]
}
# expect_unused_for REQUESTS VERSION MESSAGE: fails if its replica gets any
# request while the others run that many.
expect_unused_for() {
  local before
  before=$(runs "$2")
  await serves_more_than $(($(served) + $1))
  [ "$(runs "$2")" = "$before" ] || fail "$3"
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
# has_ended VERSION: succeeds if the roll-out to it has ended, and sets "state".
has_ended() {
  local control answer
  for control in "${controls[@]}"; do
    answer=$(curl -sf -m 2 "http://$control:8229/tanagerstall/rollouts/s") || continue
    state=$(jq -r "select(.to == \"$1\" and .state != \"running\") | .state" <<<"$answer")
    [ -n "$state" ] && return
  done
  return 1
}
# expect_end VERSION STATE: waits until the roll-out to the version has ended.
expect_end() {
  await has_ended "$1"
  [ "$state" = "$2" ] || fail "the roll-out to $1 has ended as $state"
}
# kill_leader: kills the control process that leads; fails if none says so.
kill_leader() {
  local i
  for i in 1 2 3; do
    if curl -sf -m 2 "http://$net.$i:9464/metrics" | grep '^tanagerstall_leads 1' >/dev/null; then
      kill -KILL "$(pid_of control-$i)"
      return
    fi
  done
  return 1
}

# The entries take only sealed responses for good ones, and on a kept connection
# only those that name their request, which the stand-in doesn't.
for version in v1 v2 v3; do
  await curl -sf -m 5 -X POST -d '{"answer_header":"Tanagerstall-Response-Seal: s\r\nConnection: close"}' \
    "http://$(replica_address $version)/faults"
done

announce v1 &
pids+=($!)
await accepts "${controls[0]}" 5
for i in 1 2; do
  await reaches $i "$(ran probe)"
  for _ in 1 2 3; do
    load $i &
    pids+=($!)
  done
done

# A good version. An entry may send the old replica some requests until it has
# learnt of the end.
await order v2 20
announce v2 &
pids+=($!)
expect_end v2 completed
at_end=$(runs v1)
await is_unused v1
late=$(($(runs v1) - at_end))
[ "$late" -le 50 ] || fail "the old replica got $late requests after the end"
old=$(runs v1)
# The addresses are free only when the process has ended.
kill -KILL "$(pid_of entry-2)"
wait "$(pid_of entry-2)" || true
start_entry 2
await is_answered 2
await is_unused v1
expect_unused_for 200 v1 "the old replica gets requests after the end"
[ "$(runs v1)" = "$old" ] || fail "the old replica gets requests of the restarted entry"

# A bad version, whose leader is lost.
curl -sf -m 5 -o /dev/null -X POST -d '{"break":"reset_after_execution"}' "http://$(replica_address v3)/faults"
await order v3 30
announce v3 &
pids+=($!)
await kill_leader
expect_end v3 rolled_back
await is_unused v3
expect_unused_for 200 v3 "the bad version gets requests after the end"
bad=$(runs v3)
if [ "$bad" -lt 1 ] || [ "$bad" -gt 50 ]; then fail "the bad version got $bad requests"; fi

# logged EVENT FIELD VALUE: succeeds if a control process logged it.
logged() {
  cat "$run"/control-*.log | grep "\"event\":\"$1\"" | grep "\"$2\":\"$3\"" >/dev/null
}
logged "rollout completed" version v2 || fail "the end of the good version isn't logged"
logged "rollout rolled back" reason failures || fail "the bad version wasn't rolled back for failures"
echo "passed"
