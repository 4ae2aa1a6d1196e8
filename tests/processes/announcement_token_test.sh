#!/usr/bin/env bash
# If an upstream token is configured, no request is routed to an upstream that
# announces itself with a different token.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT

start_control control
start entry tanagerstall-entryd --id entry --upstream-token secret \
  --control "$(address_of control rpc)"
entry=$(address_of entry callers)
start stranger tanagerstall-standin --service orders --entries "$entry" \
  --token guessed
start orders tanagerstall-standin --service orders --entries "$entry" \
  --token secret
"$bin/tanagerctl" apply --control "$(address_of control operators)" \
  -f examples/records >/dev/null

# order NUMBER: sends one order; succeeds if an upstream has answered it.
order() {
  curl -sf -H 'Authorization: Bearer booth-token' -H "Idempotency-Key: $1" \
    -d '{}' "http://$entry/v1/services/orders/capture" >/dev/null
}
for number in 1 2 3 4 5 6; do wait_until order "$number"; done

executions() {
  curl -sf "http://$(address_of "$1" address)/executions" |
    jq '.keys | length'
}
[ "$(executions orders)" = 6 ]
[ "$(executions stranger)" = 0 ]
curl -sf "http://$entry/metrics" >"$run/metrics"
grep -q 'class="plain".*measure="whole"\|whole.*class="plain"' "$run/metrics"
status=$(curl -s -o "$run/answer" -w '%{http_code}' -d '{}' \
  "http://$entry/v1/upstreams")
[ "$status" = 401 ]
grep -q unknown_token "$run/answer"
stop_all
