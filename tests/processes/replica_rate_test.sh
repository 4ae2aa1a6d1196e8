#!/usr/bin/env bash
# Runs the platform's daemons and a stand-in for a replica that names a rate for
# all entries together: an entry that the replica never told learns it through
# control, also after it was restarted and after the leader of control was lost,
# both entries together keep the rate, and both learn that it ended.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh

use_free_addresses
start_fleet

# limited ENTRY COUNT: succeeds if the entry knows so many limited replicas.
limited() {
  curl -sf "http://$net.1$1:9464/metrics" |
    grep -q "^tanagerstall_replicas_rate_limited{service=\"s\"} $2"
}
# asks_until ENTRY COMMAND...: sends a request, then runs the command.
asks_until() {
  send "$1" ask >/dev/null
  shift
  "$@"
}

announce_forever 1 &
pids+=($!)
wait_until accepts "${controls[0]}" 5
for i in 1 2; do
  wait_until reaches $i "$(ran probe)"
done

# Entry 1 is told; entry 2, which sends nothing, learns it through control.
set_faults '{"answer_header":"Server-Limit: 2"}'
send 1 told >/dev/null
wait_until limited 1 1
wait_until limited 2 1

# Both together keep the rate of 2 a second: 1.5 times 4 s of it and 5 more.
before=$(ran flood)
end=$((SECONDS + 4))
refused=0
while [ "$SECONDS" -lt "$end" ]; do
  for i in 1 2; do
    [ "$(send $i flood)" != 503 ] || refused=$((refused + 1))
  done
done
sent=$(($(ran flood) - before))
[ "$sent" -le 17 ] || { echo "$sent requests reached the replica"; exit 1; }
[ "$sent" -ge 2 ] && [ "$refused" -ge 10 ]

# A restarted entry is told by control before it sends anything.
kill -KILL "$(pid_of entry-2)"
start_entry 2
wait_until limited 2 1

# The leader is lost; its successor hears of the limit from the entries, and
# another restarted entry from it.
for i in 1 2 3; do
  if curl -sf "http://$net.$i:9464/metrics" | grep -q '^tanagerstall_leads 1'; then
    kill -KILL "$(pid_of control-$i)"
  fi
done
kill -KILL "$(pid_of entry-2)"
start_entry 2
wait_until limited 2 1

# The end of the limit, which only entry 1 sees, reaches entry 2 as well.
set_faults '{"answer_header":""}'
wait_until asks_until 1 limited 1 0
wait_until limited 2 0
grep -q '"event":"replica limits its rate"' "$run/entry-1.log"
grep -q '"event":"replica no longer limits its rate"' "$run/entry-1.log"
if grep -q '"event":"replica limits its rate"' "$run/entry-2.log"; then
  echo "entry 2 was told by the replica itself in the flood"
fi
echo "passed"
