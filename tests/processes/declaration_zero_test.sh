#!/usr/bin/env bash
# The operator counts its declarations from 0. Guards against a declaration with
# number 0 that is acknowledged and neither read back nor obeyed, also after a
# restart of all control processes, at one that has lost its disk and at an entry
# that starts later.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh

has_version() { [ "$(read_version "$1")" = "$2" ]; }
# status ENTRY PATH: the status of a request for which there is no replica.
status() { curl -s -o /dev/null -w '%{http_code}' -m 2 -H 'Host: h' "http://$net.1$1:8221$2" || true; }
# obeys ENTRY: an entry refuses only what its declaration doesn't have.
obeys() { [ "$(status "$1" /none)" = 404 ] && [ "$(status "$1" /a/x)" = 503 ]; }
is_ready() { curl -sf -m 2 "http://$net.1$1:8224/tanagerstall/readiness"; }

use_free_addresses
start_fleet
[ "$(status 1 /none)" != 404 ]
wait_until accepts "${controls[0]}" 0
for control in "${controls[@]}"; do
  wait_until has_version "$control" 0
done
wait_until is_ready 1
obeys 1

# Other content under the number that is held is acknowledged without effect.
accepts_other() { [ "$(put "$1" "$(document 0 | sed 's/1000/2000/')")" = 200 ]; }
keeps_first() { curl -sf -m 4 "http://$1:8229/tanagerstall/configuration" | grep -q '"timeoutMs":1000'; }
wait_until accepts_other "${controls[1]}"
wait_until keeps_first "${controls[2]}"

# A process keeps its ports until it has ended.
for process in control-1 control-2 control-3 entry-2; do
  kill -KILL "$(pid_of $process)"
  wait "$(pid_of $process)" 2>/dev/null || true
done
for i in 1 2 3; do
  start_platform control-$i controld
done
start_entry 2
for control in "${controls[@]}"; do
  wait_until has_version "$control" 0
done
wait_until is_ready 2
obeys 2

# A control process that has lost its disk gets the declaration from the others.
kill -KILL "$(pid_of control-1)"
wait "$(pid_of control-1)" 2>/dev/null || true
rm -rf "$run/data-1"
control_settings 1 false
start_platform control-1 controld
wait_until has_version "${controls[0]}" 0

wait_until accepts "${controls[1]}" 1
for control in "${controls[@]}"; do
  wait_until has_version "$control" 1
done
wait_until accepts "${controls[2]}" 0
wait_until has_version "${controls[0]}" 1
echo "passed"
