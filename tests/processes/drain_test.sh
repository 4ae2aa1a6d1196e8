#!/usr/bin/env bash
# Guards, with real processes, against requests lost or sent to the wrong place
# when upstreams and entries leave, are killed, frozen, stopped or reclaimed.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
token='Authorization: Bearer booth-token'

start_control control
rpc=$(address_of control rpc)
for entry in entry-1 entry-2 entry-3; do
  TANAGERSTALL_OPERATOR_TOKEN=stop-token start $entry tanagerstall-entryd \
    --id $entry --control "$rpc"
done
entry1=$(address_of entry-1 callers)
entry2=$(address_of entry-2 callers)
entry3=$(address_of entry-3 callers)
# Each upstream announces itself to one entry, which informs the others.
start model tanagerstall-standin --service assistant --kind model \
  --token-ms 100 --entries "$entry2"
start orders-1 tanagerstall-standin --service orders --entries "$entry2"
start orders-2 tanagerstall-standin --service orders --entries "$entry2"
"$bin/tanagerctl" apply --control "$(address_of control operators)" \
  -f examples/records >/dev/null

entries_of() { curl -sf "http://$1/v1/entries" | jq -c '[.entries[].id] | sort'; }
entries_are() { [ "$(entries_of "$1")" = "$2" ]; }
upstreams_of() {
  curl -sf "http://$1/metrics" | sed -n 's/^tanagerstall_upstreams //p'
}
upstreams_are() { [ "$(upstreams_of "$1")" = "$2" ]; }
answers() { curl -sf -H "$token" "http://$1/v1/services/orders/ready"; }

for entry in "$entry1" "$entry2" "$entry3"; do
  wait_until entries_are "$entry" '["entry-1","entry-2","entry-3"]'
  wait_until upstreams_are "$entry" 3
done
echo "every entry knows all entries and upstreams"

# An upstream that leaves and one that is killed disappear from every entry.
kill -TERM "$(pid_of orders-1)"
for entry in "$entry1" "$entry2" "$entry3"; do
  wait_until upstreams_are "$entry" 2
done
kill -KILL "$(pid_of orders-2)"
for entry in "$entry1" "$entry2" "$entry3"; do
  wait_until upstreams_are "$entry" 1
  status=$(curl -s -o /dev/null -w '%{http_code}' -H "$token" \
    "http://$entry/v1/services/orders/ready")
  [ "$status" = 503 ]
done
start orders-3 tanagerstall-standin --service orders --entries "$entry2"
for entry in "$entry1" "$entry2" "$entry3"; do wait_until answers "$entry"; done
echo "upstreams left, were killed and were replaced"

# After SIGTERM during a stream, the stream completes and the entry exits with
# status 0.
curl -sfN -H "$token" -o "$run/stream" \
  -d '{"model":"assistant","stream":true,"max_tokens":60}' \
  "http://$entry1/v1/chat/completions" &
stream=$!
wait_until grep -q '^data:' "$run/stream"
kill -TERM "$(pid_of entry-1)"
wait_until entries_are "$entry1" '["entry-2","entry-3"]'
wait_until entries_are "$entry2" '["entry-2","entry-3"]'
wait_until entries_are "$entry3" '["entry-2","entry-3"]'
# Callers that still use an earlier discovery answer are served.
answers "$entry1" >/dev/null
curl -si -H "$token" "http://$entry1/v1/services/orders/ready" |
  grep -qi '^Connection: close'
wait "$stream"
grep -q '\[DONE\]' "$run/stream"
[ "$(grep -c '"content"' "$run/stream")" = 60 ]
wait "$(pid_of entry-1)"
grep '"event":"drain ended"' "$run/entry-1.log" | grep -q '"requests_cut":0'
echo "a stopped entry left discovery at once and completed its requests"

# While an entry is frozen, the others continue to serve. It serves again after
# it resumes.
kill -STOP "$(pid_of entry-3)"
wait_until entries_are "$entry2" '["entry-2"]'
answers "$entry2" >/dev/null
kill -CONT "$(pid_of entry-3)"
wait_until entries_are "$entry2" '["entry-2","entry-3"]'
wait_until answers "$entry3"
echo "a frozen entry did not block the others and recovered"

# A reclaim notice requires the operator token and ends the entry within the
# notice time.
reclaim() {
  curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" \
    -d "$2" "http://$entry3/v1/reclaim"
}
[ "$(reclaim wrong '{"notice_ms":2000}')" = 401 ]
[ "$(reclaim stop-token '{"notice_ms":"soon"}')" = 400 ]
[ "$(reclaim stop-token '{"notice_ms":2000}')" = 200 ]
wait_until entries_are "$entry2" '["entry-2"]'
wait "$(pid_of entry-3)"
grep '"decision":"drain"' "$run/entry-3.log" | grep -q '"reason":"reclaim"'
echo "a reclaimed entry ended on its own"

# Without control the remaining entry continues to serve and reports that
# control is unreachable.
kill -KILL "$(pid_of control)"
is_control_unreachable() {
  [ "$(curl -sf "http://$entry2/v1/entries" | jq .control_reachable)" = false ]
}
wait_until is_control_unreachable
answers "$entry2" >/dev/null
entries_are "$entry2" '["entry-2"]'
"$bin/tanagerctl" histogram --entries "$entry2" >/dev/null
echo "an entry without control continued to serve"
