#!/usr/bin/env bash
# Runs concurrent callers of a non-idempotent service while processes are
# killed, suspended and restarted and upstreams reset connections. Guards
# against requests that run twice, get a wrong outcome or are lost, which the
# load generator finds in the recorded histories.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT

start_control control
operators=$(address_of control operators)
rpc=$(address_of control rpc)
# run_entry NUMBER [CALLER_ADDRESS]: starts an entry, on a free port if no
# address is given.
run_entry() {
  start "entry-$1" tanagerstall-entryd --id "entry-$1" --control "$rpc" \
    --caller-address "${2:-127.0.0.1:0}"
}
for entry in 1 2 3; do run_entry $entry; done
for entry in 1 2 3; do
  callers[entry]=$(address_of entry-$entry callers)
done
all_entries="${callers[1]},${callers[2]},${callers[3]}"
for standin in 1 2; do
  start orders-$standin tanagerstall-standin --service orders \
    --entries "$all_entries" --faults '{"first_token_ms":40}'
done
standins="$(address_of orders-1 address),$(address_of orders-2 address)"
"$bin/tanagerctl" apply --control "$operators" -f examples/records >/dev/null

# load CALLERS REQUESTS SEED: runs the callers and prints the checked result.
load() {
  "$bin/tanagerstall-load" history --entries "$all_entries" \
    --standins "$standins" --organisation booths --token booth-token \
    --target /v1/services/orders/capture \
    --callers "$1" --requests "$2" --seed "$3"
}
set_faults() {
  curl -sf -d "$2" "http://$(address_of "$1" address)/faults" >/dev/null
}
runs() {
  local standin count=0
  for standin in ${standins/,/ }; do
    count=$((count + $(curl -sf "http://$standin/executions" |
      jq '.keys | length')))
  done
  echo "$count"
}
has_run() { [ "$(runs)" -ge "$1" ]; }

load 1 1 100 >/dev/null
echo "callers begin"
load 6 30 7 >"$run/result" &
load=$!
wait_until has_run 20
set_faults orders-1 '{"break":"reset_after_execution","break_count":3}'
set_faults orders-2 '{"break":"reset_before_execution","break_count":3}'
wait_until has_run 40
kill -KILL "$(pid_of entry-3)"
wait_until has_run 60
kill -KILL "$(pid_of control)"
start_control control --rpc-address "$rpc" --operator-address "$operators"
wait_until has_run 70
kill -STOP "$(pid_of entry-2)"
run_entry 3 "${callers[3]}"
wait_until has_run 90
kill -CONT "$(pid_of entry-2)"
wait "$load" || {
  cat "$run/result"
  exit 1
}
cat "$run/result"
# Unknown outcomes and calls without any outcome show that the faults took
# effect.
jq -e '.violations == 0 and .unknown > 0 and .lost > 0 and .runs > 150' \
  "$run/result" >/dev/null
