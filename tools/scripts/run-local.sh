#!/usr/bin/env bash
# Installs the packages, builds, and demonstrates the system on loopback: one
# control process, two entries, stand-ins for a model engine and a plain
# service, a sample configuration, a streamed completion and a non-idempotent
# order. With --no-build, uses the existing build.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ "${1:-}" != --no-build ]; then
  tools/scripts/install.sh
  tools/scripts/build.sh
fi
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT

start_control control
operators=$(address_of control operators)
rpc=$(address_of control rpc)
for entry in entry-1 entry-2; do
  start $entry tanagerstall-entryd --id $entry --control "$rpc" \
    --failure-domain "domain-${entry#entry-}" --upstream-token local-token
done
entry1=$(address_of entry-1 callers)
entry2=$(address_of entry-2 callers)
start model tanagerstall-standin --service assistant --kind model \
  --entries "$entry1" --token local-token
start orders tanagerstall-standin --service orders --entries "$entry1" \
  --token local-token

"$bin/tanagerctl" apply --control "$operators" -f examples/records

has_entries() {
  [ "$(curl -sf "http://$entry2/v1/entries" | jq '.entries | length')" = 2 ]
}
has_upstreams() {
  curl -sf -H 'Authorization: Bearer booth-token' \
    "http://$entry2/v1/services/orders/ready" &&
    curl -sf -H 'Authorization: Bearer booth-token' \
      -d '{"model":"assistant","max_tokens":1}' \
      "http://$entry2/v1/chat/completions"
}
wait_until has_entries
wait_until has_upstreams

echo "entries that a caller may use:"
curl -sf "http://$entry1/v1/entries" | jq -c .
echo "a streamed completion through entry-2:"
curl -sfN -H 'Authorization: Bearer booth-token' \
  -d '{"model":"assistant","stream":true,"max_tokens":5}' \
  "http://$entry2/v1/chat/completions" | tee "$run/stream"
grep -q '\[DONE\]' "$run/stream"
echo "an order that may not be repeated, sent to both entries:"
for entry in "$entry1" "$entry2"; do
  curl -sf -H 'Authorization: Bearer booth-token' \
    -H 'Idempotency-Key: order-1' -d '{"item":"poster"}' \
    "http://$entry/v1/services/orders/capture"
  echo
done | tee "$run/orders"
[ "$(sort -u "$run/orders" | wc -l)" = 1 ]
grep -q '"executions":1' "$run/orders"
stop_all
echo "all stopped gracefully"
