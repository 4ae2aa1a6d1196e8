#!/usr/bin/env bash
# Orders roll-outs at the platform's control processes: an acknowledged order is
# read back at each of them, also after a restart of all and after the loss of
# the leader with its disk; a refused one changes nothing.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh
use_free_addresses

for i in 1 2 3; do
  control_settings $i true
  start_platform control-$i controld
done

# order CONTROL BODY: prints the status of an order.
order() { curl -s -o "$run/answer" -w '%{http_code}' -m 6 -X POST -d "$2" "http://$1:8229/tanagerstall/rollouts"; }
# body VERSION SECONDS: prints the body of an order for service "s".
body() { printf '{"service":"s","to":"%s","durationS":%s}' "$1" "$2"; }
# answers STATUS CONTROL BODY: succeeds if the order gets the status, and any
# refusal a message.
answers() {
  [ "$(order "$2" "$3")" = "$1" ] &&
    { [ "$1" = 200 ] || jq -e '.error | length > 0' "$run/answer"; }
}
read_rollout() { curl -s -m 4 -w ' %{http_code}' "http://$1:8229/tanagerstall/rollouts/s"; }
reads() { [ "$(read_rollout "$1")" = "$2" ]; }
# expect STATUS CONTROL BODY: fails the test unless the order gets the status.
expect() {
  answers "$1" "$2" "$3" >/dev/null || { echo "not $1 but $(cat "$run/answer"): $3"; exit 1; }
}
running='{"state":"running","to":"v2"} 200'
none='{"error":"the service has no roll-out"} 404'

wait_until accepts "${controls[0]}" 5
announce_forever "$(date +%s%3N)" &
pids+=($!)

# The replica has version v1. Before it is known, an order of v1 could be
# accepted, as for a service without replicas.
knows_replica() { curl -sf -m 2 "http://$net.1:9464/metrics" | grep -q '^tanagerstall_replicas_ready_here [1-9]'; }
wait_until knows_replica

# Each invalid input gets its status, at every control process. The order of the
# version in effect gets 503 until a process has run for as long as replicas may
# need to announce themselves and has heard the others.
for control in "${controls[@]}"; do
  wait_until reads "$control" "$none"
  for bad in '{"service":"s"' '["s"]' '{"to":"v2","durationS":9}' \
    '{"service":"s","durationS":9}' '{"service":"s","to":"v2"}' \
    '{"service":"s","to":2,"durationS":9}' "$(body v2 0)" "$(body v2 -1)" \
    "$(body v2 86401)" "$(body v2 '"9"')" \
    '{"service":"none","to":"v2","durationS":9}'; do
    expect 400 "$control" "$bad"
  done
  wait_until answers 409 "$control" "$(body v1 9)"
  reads "$control" "$none"
done

# The long duration keeps the roll-out running for the whole test.
order_body=$(body v2 3600)
wait_until answers 200 "${controls[0]}" "$order_body"
for control in "${controls[@]}"; do
  reads "$control" "$running"
  expect 200 "$control" "$order_body"
  expect 409 "$control" "$(body v3 3600)"
  expect 409 "$control" "$(body v2 1800)"
  expect 400 "$control" "$(body v2 0)"
  reads "$control" "$running"
done

# A restart of all control processes.
for i in 1 2 3; do kill -KILL "$(pid_of control-$i)"; done
for i in 1 2 3; do start_platform control-$i controld; done
for control in "${controls[@]}"; do
  wait_until reads "$control" "$running"
  wait_until answers 200 "$control" "$order_body"
  expect 409 "$control" "$(body v3 3600)"
done

# The loss of the leader with its disk.
leads() { curl -sf -m 2 "http://$net.$1:9464/metrics" | grep -q '^tanagerstall_leads 1'; }
finds_leader() {
  for leader in 1 2 3; do leads "$leader" && return; done
  return 1
}
wait_until finds_leader
kill -KILL "$(pid_of control-$leader)"
rm -rf "$run/data-$leader"
other=$((leader % 3 + 1))
wait_until answers 200 "$net.$other" "$order_body"
wait_until reads "$net.$other" "$running"
control_settings "$leader" false
start_platform "control-$leader" controld
for control in "${controls[@]}"; do
  wait_until reads "$control" "$running"
  wait_until answers 200 "$control" "$order_body"
  expect 409 "$control" "$(body v3 3600)"
done

# The operators' command line.
rollout() { build/src/tanagerctl rollout "$@" --control "${controls[0]}:8229,${controls[1]}:8229"; }
[ "$(rollout list | jq -r '.rollouts[] | "\(.service) \(.version) \(.state) \(.id)"')" = "s v2 running 1" ]
[ "$(rollout get --service s | jq -r .version)" = v2 ]
rollout start --service s --to v2 --duration 3600 >/dev/null
status=0
rollout start --service s --to v3 --duration 3600 >/dev/null 2>&1 || status=$?
[ "$status" = 4 ] || { echo "tanagerctl exited with status $status after a conflict"; exit 1; }
# A duration that no order can have is refused before a call, so also without a
# control process; other durations are rounded as the platform's call does.
for bad in 0 -1 inf nan 86401; do
  status=0
  rollout start --service s --to v2 --duration="$bad" >/dev/null 2>&1 || status=$?
  [ "$status" = 2 ] || { echo "tanagerctl exited with status $status for a duration of $bad"; exit 1; }
done
rollout start --service s --to v2 --duration 3600.0004 >/dev/null
status=0
rollout get --service none >/dev/null 2>&1 || status=$?
[ "$status" = 1 ] || { echo "tanagerctl exited with status $status for a service without a roll-out"; exit 1; }

# Each process has logged the one roll-out that started.
for i in 1 2 3; do
  grep -q '"event":"rollout started","service":"s","version":"v2","id":1' "$run/control-$i.log"
done
if grep -h '"event":"rollout started"' "$run"/control-*.log | grep -v '"version":"v2","id":1'; then
  echo "a refused order started a roll-out"
  exit 1
fi
echo "passed"
