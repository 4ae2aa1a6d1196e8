#!/usr/bin/env bash
# Runs the platform's daemons and a stand-in for a replica that asks entries for
# a back-off and then says that it leaves: no request may reach it meanwhile,
# also from an entry that was frozen and wakes within the back-off. An entry
# that was restarted may ask it once more.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh

use_free_addresses
start_fleet

refused() { curl -sf "http://$replica/executions" | jq .refused; }
expect_sends() { [ "$2" -le "$3" ] || { echo "$1: $2 requests reached the replica, at most $3 may"; exit 1; }; }

announce_forever 1 &
announcer=$!
pids+=($announcer)
wait_until accepts "${controls[0]}" 5
for i in 1 2; do
  wait_until reaches $i "$(ran probe)"
done

# Both entries are asked for a back-off once and send nothing more.
set_faults '{"refuses":true,"answer_header":"Retry-After: 30"}'
for i in 1 2; do
  [ "$(send $i x)" = 503 ]
done
for n in 1 2 3 4 5; do
  [ "$(send 1 x)" = 503 ]
done
expect_sends "within the back-off" "$(refused)" 2

# Requests that wait at a frozen entry are not sent when it wakes.
kill -STOP "$(pid_of entry-2)"
senders=()
for n in 1 2 3; do
  send 2 frozen >/dev/null &
  senders+=($!)
done
sleep 1
kill -CONT "$(pid_of entry-2)"
for sender in "${senders[@]}"; do
  wait "$sender"
done
expect_sends "after a freeze" "$(refused)" 2

# A restarted entry knows nothing and is told once.
kill -KILL "$(pid_of entry-1)"
start_entry 1
is_told() { send 1 x >/dev/null; [ "$(refused)" -ge 3 ]; }
wait_until is_told
for n in 1 2 3 4 5; do
  [ "$(send 1 x)" = 503 ]
done
expect_sends "after a restart" "$(refused)" 3

# The back-off belongs to the incarnation: another one is used at once. It says
# that it leaves and gets no request after that, though its announcements go on.
set_faults '{"refuses":false,"answer_header":"Server-Leaving: 1"}'
kill "$announcer"
announce_forever 2 &
pids+=($!)
before=$(ran probe)
for i in 1 2; do
  wait_until reaches $i "$(ran probe)"
done
[ "$(ran probe)" -le $((before + 2)) ]
for n in 1 2 3; do
  [ "$(send 1 leaving)" = 503 ]
  [ "$(send 2 leaving)" = 503 ]
done
expect_sends "after it said that it leaves" "$(ran leaving)" 0
grep -q '"event":"replica leaves"' "$run/entry-1.log"
grep -q '"event":"replica backs off"' "$run/entry-1.log"
curl -sf "http://$net.11:9464/metrics" | grep -q '^tanagerstall_replicas_leaving{service="s"} 1'
echo "passed"
