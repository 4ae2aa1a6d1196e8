#!/usr/bin/env bash
# Stops an entry in calm while its replica holds requests: each request that was
# passed on gets an answer before the process ends, also one that may not be
# repeated, and one that is read late is refused as not run and reaches no
# replica.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh

use_free_addresses
start_fleet
announce_forever 1 &
pids+=($!)
# The replica may take longer than the whole stop.
slow_document() { document "$1" | sed 's/"safe"/"unsafe"/; s/"timeoutMs":1000/"timeoutMs":20000/'; }
is_declared() { [ "$(put "${controls[0]}" "$(slow_document 5)")" = 200 ]; }
wait_until is_declared
wait_until reaches 1 "$(ran probe)"

set_faults '{"holds":true}'
is_held() { [ "$(ran "$1")" = 1 ]; }
send 1 held >"$run/held.status" &
sender=$!
wait_until is_held held

# A request whose body is late: the entry has read its head when it is stopped.
exec 3<>"/dev/tcp/$net.11/8221"
printf 'POST /a/x HTTP/1.1\r\nHost: h\r\nTanagerstall-Request-Id: late\r\nContent-Length: 4\r\n\r\nla' >&3
kill -TERM "$(pid_of entry-1)"
sleep 2.8
printf 'te' >&3
late=$(timeout 5 cat <&3 || true)
grep -q '^HTTP/1.1 503' <<<"$late" || { echo "late request: $late"; exit 1; }
grep -q not_run <<<"$late"
[ "$(ran late)" = 0 ]

wait "$sender"
status=$(cat "$run/held.status")
[ "$status" = 502 ] || { echo "held request: $status, expected 502"; exit 1; }
entry=$(pid_of entry-1)
wait "$entry" || { echo "the entry ended with status $?"; exit 1; }
[ "$(ran held)" = 1 ]
