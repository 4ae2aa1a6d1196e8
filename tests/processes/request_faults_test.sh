#!/usr/bin/env bash
# Injects the main faults of the request matrix with real processes: killed and
# suspended processes, reset connections, lost answers and missing upstreams.
# Guards against a non-idempotent request that runs twice or whose caller gets a
# wrong outcome.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
token='Authorization: Bearer booth-token'

start_control control
operators=$(address_of control operators)
rpc=$(address_of control rpc)
for entry in 1 2 3; do
  start entry-$entry tanagerstall-entryd --id entry-$entry --control "$rpc"
done
for entry in 1 2 3; do
  callers[entry]=$(address_of entry-$entry callers)
done
all_entries="${callers[1]},${callers[2]},${callers[3]}"
start orders tanagerstall-standin --service orders --entries "$all_entries"
start payments tanagerstall-standin --service payments \
  --entries "$all_entries" --faults '{"deduplicates":true}'
cp -r examples/records "$run/records"
jq '.name = "payments"' examples/records/orders.json \
  >"$run/records/payments.json"
"$bin/tanagerctl" apply --control "$operators" -f "$run/records" >/dev/null

# order ENTRY KEY [CURL ARGUMENTS...]
# Sends a request to the service (default: orders). Prints the body, then a line
# with the status and the outcome.
order() {
  local entry=$1 key=$2
  shift 2
  curl -s -w '\n%{http_code} %header{tanagerstall-outcome}\n' -H "$token" \
    -H "Idempotency-Key: $key" -d "{\"order\":\"$key\"}" "$@" \
    "http://${callers[$entry]}/v1/services/${service:-orders}/capture"
}
set_faults() {
  curl -sf -d "$2" "http://$(address_of "$1" address)/faults" >/dev/null
}
executions() {
  curl -sf "http://$(address_of "${service:-orders}" address)/executions" |
    jq --arg key "booths/$1" '.keys[$key] // 0'
}
has_run() { [ "$(executions "$1")" -ge 1 ]; }
ends_with() { [ "$(tail -n 1 "$1")" = "$2" ]; }
body_of() { head -n 1 "$1"; }
unknown_keys() {
  "$bin/tanagerctl" requests --state unknown --control "$operators" |
    jq -r '.requests[].key'
}
is_unknown() { unknown_keys | grep -qxF "$1"; }
settle() {
  "$bin/tanagerctl" settle booths "$@" --control "$operators" >/dev/null
}
fail() {
  echo "FAILED: $*"
  tail -n 15 "$run"/*.log
  exit 1
}
expect() { ends_with "$1" "$2" || fail "$3: $(cat "$1")"; }
expect_runs() {
  [ "$(executions "$1")" = "$2" ] || fail "$1 ran $(executions "$1") times"
}
can_order() {
  local entry name
  for entry in 1 2 3; do
    for name in orders payments; do
      service=$name order $entry "$name-$entry" | grep -q '^200' || return 1
    done
  done
}
wait_until can_order

echo "the same key with another body is a conflict"
order 1 orders-1 -d other >"$run/out"
expect "$run/out" "409 not_run" conflict

echo "reset before the request ran: unknown, settled, sent again"
set_faults orders '{"break":"reset_before_execution","break_count":1}'
order 1 reset >"$run/out"
expect "$run/out" "502 unknown" reset
is_unknown reset || fail "the reset order is not listed"
order 2 reset >"$run/out"
expect "$run/out" "502 unknown" "reset, resent"
expect_runs reset 0
settle reset --not-run
order 2 reset >"$run/out"
expect "$run/out" "200 answered" "reset, settled"
expect_runs reset 1

echo "reset after the request ran: unknown, settled with its answer"
set_faults orders '{"break":"reset_after_execution","break_count":1}'
order 1 ran >"$run/out"
expect "$run/out" "502 unknown" ran
printf '{"paid":true}' >"$run/answer"
settle ran --ran --status 201 --body-file "$run/answer"
order 2 ran >"$run/out"
expect "$run/out" "201 answered" "ran, settled"
[ "$(body_of "$run/out")" = '{"paid":true}' ] || fail "another answer"
expect_runs ran 1

echo "a deduplicating upstream is asked again"
set_faults payments '{"break":"reset_after_execution","break_count":1}'
service=payments order 1 dedup >"$run/out"
expect "$run/out" "200 answered" dedup
service=payments expect_runs dedup 1

echo "answer lost to the caller, key resent elsewhere while it runs"
set_faults orders '{"first_token_ms":1500}'
order 1 lost --max-time 0.5 >/dev/null || true
order 2 lost >"$run/out"
expect "$run/out" "200 answered" lost
order 3 lost >"$run/again"
cmp -s "$run/out" "$run/again" || fail "two answers: $(cat "$run/again")"
expect_runs lost 1

echo "the caller's deadline passes while the request runs"
order 1 deadline -H 'Tanagerstall-Timeout-Ms: 800' >"$run/out"
expect "$run/out" "502 unknown" deadline
order 2 deadline >"$run/out"
expect "$run/out" "200 answered" "deadline, resent"
expect_runs deadline 1

echo "control killed and restarted while the request runs"
set_faults orders '{"first_token_ms":2000}'
order 1 control >"$run/out" &
order=$!
wait_until has_run control
kill -KILL "$(pid_of control)"
start_control control --rpc-address "$rpc" --operator-address "$operators"
wait "$order"
expect "$run/out" "200 answered" "control restarted"
order 2 control >"$run/again"
cmp -s "$run/out" "$run/again" || fail "two answers: $(cat "$run/again")"
expect_runs control 1

echo "entry frozen with a grant, woken later"
set_faults orders '{"first_token_ms":0,"holds":true}'
order 1 frozen >"$run/out" &
order=$!
wait_until has_run frozen
kill -STOP "$(pid_of entry-1)"
order 2 frozen >"$run/elsewhere"
expect "$run/elsewhere" "502 unknown" "frozen, resent"
kill -CONT "$(pid_of entry-1)"
set_faults orders '{"holds":false}'
wait "$order"
expect "$run/out" "200 answered" "frozen and woken"
order 2 frozen >"$run/again"
cmp -s "$run/out" "$run/again" || fail "two answers: $(cat "$run/again")"
expect_runs frozen 1
! is_unknown frozen || fail "an answered order is listed as unknown"

echo "entry killed with a grant"
set_faults orders '{"holds":true}'
order 1 killed >/dev/null 2>&1 &
wait_until has_run killed
kill -KILL "$(pid_of entry-1)"
order 2 killed >"$run/out"
expect "$run/out" "502 unknown" killed
is_unknown killed || fail "the killed order is not listed"
expect_runs killed 1
set_faults orders '{"holds":false}'

echo "no upstream: refused as not run, and it never runs"
kill -TERM "$(pid_of orders)"
refused=0
is_refused() {
  refused=$((refused + 1))
  order 2 "refused-$refused" >"$run/out"
  ends_with "$run/out" "503 not_run"
}
wait_until is_refused

echo "accepted without a waiting caller, its entry killed before a grant"
order 2 async -H 'Prefer: respond-async' -D "$run/head" >"$run/out"
expect "$run/out" "202 accepted" async
location=$(sed -n 's/^[Ll]ocation: //p' "$run/head" | tr -d '\r')
kill -KILL "$(pid_of entry-2)"
start orders tanagerstall-standin --service orders --entries "${callers[3]}"
fetch() {
  curl -s -w '\n%{http_code} %header{tanagerstall-outcome}\n' -H "$token" \
    "http://${callers[3]}$location" >"$run/out"
}
is_over() { fetch && ! ends_with "$run/out" "202 accepted"; }
fetch
expect "$run/out" "202 accepted" "async, fetched"
wait_until is_over
expect "$run/out" "200 answered" "async, taken over"
expect_runs async 1
expect_runs "refused-$refused" 0
curl -s -o /dev/null -w '%{http_code}\n' "http://${callers[3]}$location" |
  grep -qx 401 || fail "an outcome was shown without a token"
