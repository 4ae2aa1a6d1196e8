#!/usr/bin/env bash
# Runs the platform's daemons on loopback addresses: they must bootstrap from
# the seeds, accept and keep declarations, survive the loss of the leader and
# its disk, reload their settings and stop cleanly.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
controls=("$net.1" "$net.2" "$net.3")
entry=$net.11
source tests/processes/platform_lib.sh

for i in 1 2 3; do
  control_settings $i true
  start_platform control-$i controld
done
settings entry-1 "$entry" "listen.front=$entry:8221" "listen.ready=$entry:8224"
start_platform entry-1 entryd

has_version() { [ "$(read_version "$1")" = "$2" ]; }
is_ready() { curl -sf -m 2 "http://$entry:8224/tanagerstall/readiness"; }
resolves() { curl -sf -m 2 "http://$1:8220/tanagerstall/resolve?name=h&region=north&zone=a" | jq -e --arg a "$entry:8221" '.addresses == [$a]'; }
drops_entry() { ! resolves "$1" >/dev/null 2>&1; }

# An entry without a declaration responds with status 503.
has_no_declaration() { [ "$(curl -s -o /dev/null -w '%{http_code}' -m 2 -H 'Host: h' "http://$entry:8221/a/x")" = 503 ]; }
wait_until has_no_declaration
wait_until accepts "${controls[0]}" 5
wait_until is_ready
for control in "${controls[@]}"; do
  wait_until resolves "$control"
  wait_until has_version "$control" 5
done
[ "$(put "${controls[1]}" "$(document 3)")" = 200 ]
[ "$(put "${controls[1]}" '{"version":9')" = 400 ]
[ "$(put "${controls[1]}" "$(document 9 | sed 's/1000/0/')")" = 400 ]
has_version "${controls[2]}" 5
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: h' "http://$entry:8221/none")" = 404 ]
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: h' "http://$entry:8221/a/x")" = 503 ]
curl -sf "http://$entry:9464/metrics" | grep -q '^tanagerstall_ready 1'

# Loss of the leader together with its disk: the member that starts again with
# an empty disk has to be replaced by a new voter.
leader=0
for i in 1 2 3; do
  grep -q '"event":"leads"' "$run/control-$i.log" && leader=$i
done
kill -KILL "$(pid_of control-$leader)"
rm -rf "$run/data-$leader"
other=$((leader % 3 + 1))
third=$((other % 3 + 1))
wait_until accepts "$net.$other" 12
control_settings $leader false
start_platform control-$leader controld
wait_until has_version "$net.$leader" 12
# is_repaired N: control process N counts three voters and no other members, and
# a control process has logged the replacement.
is_repaired() {
  local page
  page=$(curl -sf -m 2 "http://$net.$1:9464/metrics") &&
    grep -q "^tanagerstall_voters 3" <<<"$page" &&
    grep -q "^tanagerstall_members 3" <<<"$page" &&
    grep -hq "its disk was replaced" "$run"/control-*.log
}
wait_until is_repaired "$leader"
kill -KILL "$(pid_of control-$other)"
wait_until accepts "$net.$third" 20
wait_until has_version "$net.$leader" 20

# An entry stays ready across a reload. When it stops, the directory drops it
# and it is not ready any more.
kill -HUP "$(pid_of entry-1)"
wait_until grep -q '"event":"settings read"' "$run/entry-1.log"
is_ready >/dev/null
kill -TERM "$(pid_of entry-1)"
wait_until drops_entry "$net.$third"
! is_ready >/dev/null || { echo "a stopping entry still reports that it is ready"; exit 1; }
wait "$(pid_of entry-1)"
grep -q '"event":"stopped"' "$run/entry-1.log"

# A control process must exit cleanly while other processes have requests for
# updates pending at it.
kill -TERM "$(pid_of control-$third)"
status=0
wait "$(pid_of control-$third)" || status=$?
[ "$status" = 0 ] || { echo "a control process exited with status $status after SIGTERM"; exit 1; }
echo "passed"
