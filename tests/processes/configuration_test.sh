#!/usr/bin/env bash
# Tests validation, application, write conflicts, retransmission and deletion of
# records in both schemas, and their distribution to entries, with separate
# processes.
set -euo pipefail
cd "$(dirname "$0")/../.."
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
folder=$run/records

fail() { echo "FAILED: $*" >&2; exit 1; }

# ctl COMMAND ...: runs tanagerctl with its output in $run/out and $run/err.
ctl() {
  local command=$1
  shift
  "$bin/tanagerctl" "$command" "$@" --control "$operators" \
    >"$run/out" 2>"$run/err"
}

# expect STATUS TEXT COMMAND ...: checks the exit status and the output.
expect() {
  local wanted=$1 text=$2 status=0
  shift 2
  ctl "$@" || status=$?
  [ "$status" = "$wanted" ] ||
    fail "$*: exit status $status: $(cat "$run/out" "$run/err")"
  [ -z "$text" ] || grep -qF -- "$text" "$run/out" "$run/err" ||
    fail "$*: \"$text\" is not in: $(cat "$run/out" "$run/err")"
}

# edit FILE FILTER: modifies a record file with a jq filter.
edit() {
  jq "$2" "$folder/$1" >"$run/edited"
  mv "$run/edited" "$folder/$1"
}

# in_force REVISION ENTRIES: succeeds if exactly that many entries have the
# revision.
in_force() {
  ctl status --output json
  [ "$(jq "[.entries[] | select(.revision == $1)] | length" "$run/out")" = "$2" ]
}

# end PID: kills a program and removes it from the list of running programs.
end() {
  local pid kept=()
  kill -KILL "$1"
  wait "$1" 2>/dev/null || true
  for pid in "${pids[@]}"; do
    [ "$pid" = "$1" ] || kept+=("$pid")
  done
  pids=("${kept[@]}")
}

start_control control
operators=$(address_of control operators)
rpc=$(address_of control rpc)
# A control process of another cluster, which responds with an older revision.
start_control behind
behind=$(address_of behind rpc)

start_entry() {
  start "$1" tanagerstall-entryd --id "$1" --control "$rpc,$behind"
}

# A folder with records in both schemas: a dry run writes nothing, and applying
# it creates revision 1.
cp -r examples/records "$folder"
expect 5 "created service/orders" diff -f "$folder"
expect 0 "nothing applied: dry run" apply -f "$folder" --dry-run
expect 0 '"records":[]' get --output json
expect 0 "applied at revision 1" apply -f "$folder"
start_entry entry-1
start_entry entry-2
expect 0 "" diff -f "$folder"
expect 0 "nothing to change" apply -f "$folder"
expect 0 '"first_token_seconds": 0.64' get service/assistant --schema 1
expect 0 '"first_token_ms": 640' get service/assistant --schema 2
expect 0 '# not exact in this schema: ["failure_domains"]' \
  get replicas/orders --schema 1
wait_until in_force 1 2

# A write in schema 1 keeps the fields that only schema 2 has.
cp "$folder/assistant.json" "$run/assistant-1.json"
jq '{schema_version: 2, kind, name, protocol, first_token_ms: 640,
     whole_ms: 120000, between_tokens_ms: 55}' "$run/assistant-1.json" \
  >"$folder/assistant.json"
expect 0 "+ between_tokens_ms: 55" apply -f "$folder"
cp "$run/assistant-1.json" "$folder/assistant.json"
edit assistant.json '.whole_seconds = 90'
expect 0 "applied at revision 3" apply -f "$folder"
expect 0 '"between_tokens_ms": 55' get service/assistant
expect 0 "  - whole_ms: 120000" history service/assistant
wait_until in_force 3 2

# A schema 1 write is refused if the stored record has a value that schema 1
# can't express; the error names the field.
cp "$folder/orders-replicas.json" "$run/orders-replicas.json"
jq '{schema_version: 1, kind, name, count}' "$run/orders-replicas.json" \
  >"$folder/orders-replicas.json"
expect 1 "orders-replicas.json: replicas/orders: failure_domains holds" \
  apply -f "$folder"
cp "$run/orders-replicas.json" "$folder/orders-replicas.json"

# One invalid record prevents the whole folder from being applied.
edit assistant.json '.whole_seconds = 80 | .protokol = "x"'
edit orders.json '.first_token_ms = "640ms"'
expect 1 "assistant.json: service/assistant: protokol is unknown" \
  apply -f "$folder"
expect 1 "orders.json: service/orders: first_token_ms must be a number" \
  apply -f "$folder"
edit assistant.json 'del(.protokol)'
edit orders.json 'del(.first_token_ms)'
echo '{' >"$folder/broken.json"
expect 1 "broken.json: is not JSON" apply -f "$folder"
rm "$folder/broken.json"
cp "$folder/orders.json" "$folder/twice.json"
expect 1 "service/orders: name is also in" apply -f "$folder"
rm "$folder/twice.json"
jq '.name = "nowhere"' "$folder/orders-replicas.json" >"$folder/nowhere.json"
expect 1 "nowhere.json: replicas/nowhere: name needs service/nowhere" \
  apply -f "$folder"
rm "$folder/nowhere.json"
in_force 3 2 || fail "a refused folder changed an entry: $(cat "$run/out")"
[ "$(jq .revision "$run/out")" = 3 ] ||
  fail "a refused folder created a revision: $(cat "$run/out")"

# A service with replicas can't be deleted, and records missing from the folder
# are deleted only with --delete.
mv "$folder/orders.json" "$run/orders.json"
expect 1 "service/orders: can't be deleted: replicas/orders is in use" \
  apply -f "$folder" --delete
expect 0 "changed service/assistant" apply -f "$folder"
expect 0 '"name": "orders"' get service/orders
mv "$folder/orders-replicas.json" "$run/orders-replicas.json"
expect 0 "deleted service/orders" apply -f "$folder" --delete
expect 1 "deleted" get service/orders
cp "$run/orders.json" "$run/orders-replicas.json" "$folder"
expect 0 "created service/orders" apply -f "$folder"
wait_until in_force 6 2

# Of two writes that expect the same version, the first wins and the second is
# shown the stored record.
edit assistant.json '.whole_seconds = 70'
expect 0 "applied at revision 7" apply -f "$folder" \
  --expect service/assistant=4 --author ana
edit assistant.json '.whole_seconds = 60'
expect 4 'by "ana"' apply -f "$folder" --expect service/assistant=4
grep -qF '"whole_ms": 70000' "$run/err" ||
  fail "the stored record is not shown after a conflict"
edit assistant.json '.whole_seconds = 70'
expect 0 "" apply -f "$folder" --expect service/assistant=4

# A command resent with its operation id gets the first result, even after other
# writes.
edit assistant.json '.whole_seconds = 50'
expect 0 "applied at revision 8" apply -f "$folder" --operation-id change-1
cp "$folder/assistant.json" "$run/assistant-50.json"
edit assistant.json '.whole_seconds = 40'
expect 0 "applied at revision 9" apply -f "$folder"
cp "$run/assistant-50.json" "$folder/assistant.json"
expect 0 "applied at revision 8" apply -f "$folder" --operation-id change-1
expect 0 '"whole_ms": 40000' get service/assistant
edit assistant.json '.whole_seconds = 30'
expect 1 "operation_id was used for other content" \
  apply -f "$folder" --operation-id change-1
expect 0 "" apply -f "$folder"

# Exit statuses for usage errors, an unknown record and an unreachable control
# process.
expect 2 "there is no such file" apply -f "$run/nowhere"
expect 2 "output" get --output yaml
expect 1 "unknown_record" get service/nowhere
status=0
"$bin/tanagerctl" get --control 127.0.0.1:1 >"$run/out" 2>&1 || status=$?
[ "$status" = 3 ] || fail "unreachable control process: exit status $status"

# A restarted entry gets the newest revision before it serves requests.
wait_until in_force 10 2
end "$(pid_of entry-2)"
edit assistant.json '.whole_seconds = 20'
expect 0 "applied at revision 11" apply -f "$folder"
start_entry entry-2
wait_until in_force 11 2

# When the control process stops responding, the entries detect it, connect to
# the other control process and keep their revision although that one is behind.
kill -STOP "$(pid_of control)"
moved() {
  grep -q "this member is behind" "$run/entry-1.log" &&
    grep -q "this member is behind" "$run/entry-2.log"
}
wait_until moved
for entry in entry-1 entry-2; do
  code=$(curl -s -o "$run/out" -w '%{http_code}' \
    -H 'Authorization: Bearer booth-token' \
    "http://$(address_of $entry callers)/v1/services/orders/ready")
  [ "$code" = 503 ] || fail "$entry returned $code, expected 503 under the kept configuration"
done
kill -CONT "$(pid_of control)"
wait_until in_force 11 2
edit assistant.json '.whole_seconds = 10'
expect 0 "applied at revision 12" apply -f "$folder"
wait_until in_force 12 2

# Measures the time from acceptance until 8 entries have a revision.
for number in 3 4 5 6 7 8; do
  start_entry "entry-$number"
done
wait_until in_force 12 8
total=0
for number in 13 14 15 16 17; do
  edit assistant.json ".whole_seconds = $number"
  expect 0 "applied at revision $number" apply -f "$folder"
  begin=$(date +%s%N)
  until in_force "$number" 8; do sleep 0.01; done
  total=$((total + ($(date +%s%N) - begin) / 1000000))
done
echo "accepted to seen in force at 8 entries: mean $((total / 5)) ms of 5"
stop_all
echo "all stopped gracefully"
