#!/usr/bin/env bash
# Runs the platform's daemons on loopback addresses: they must bootstrap from
# the seeds, accept and keep declarations, survive the loss of the leader and
# its disk, reload their settings and stop cleanly.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
bin=build/platform
trap 'kill_all; rm -rf "$run"' EXIT
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
controls=("$net.1" "$net.2" "$net.3")
entry=$net.11

# settings NAME IP LINES...: writes the settings file of process NAME.
settings() {
  local name=$1 ip=$2
  shift 2
  {
    cat <<END
nodeName=$name
ipAddress=$ip
zone=a
region=north
zones.a=north
internalPortRange=7600,7615
seeds=${controls[0]}:8229,${controls[1]}:8229,${controls[2]}:8229
faultTolerance.machines=1
heartbeatIntervalMs=1200
bounds.graceS=8
bounds.leaseMs=3000
bounds.usageWindowS=5
bounds.quotaWindowS=8
bounds.quotaOvershoot=0.1
bounds.quotaSlack=72000
bounds.retryBudgetRatio=0.2
bounds.retryBudgetSlack=56
cloud.address=$net.99:8225
END
    printf '%s\n' "$@"
  } >"$run/$name.conf"
}

# start_platform NAME PROGRAM: starts a daemon with the settings of NAME. The
# daemons log to standard output, which goes to NAME.log.
start_platform() {
  TANAGERSTALL_CONFIG="$run/$1.conf" "$bin/tanagerstall-platform-$2" \
    >>"$run/$1.log" 2>&1 &
  pids+=($!)
  printf '%s' "$!" >"$run/$1.pid"
}

control_settings() {
  settings "control-$1" "$net.$1" "listen.control=$net.$1:8229" \
    "listen.directory=$net.$1:8220" "dataDirectory=$run/data-$1" "bootstrap=$2"
}

for i in 1 2 3; do
  control_settings $i true
  start_platform control-$i controld
done
settings entry-1 "$entry" "listen.front=$entry:8221" "listen.ready=$entry:8224"
start_platform entry-1 entryd

document() {
  printf '{"version":%s,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":1000,"service":"s"}]}' "$1"
}
put() { curl -s -o /dev/null -w '%{http_code}' -m 4 -X PUT -d "$2" "http://$1:8229/tanagerstall/configuration"; }
read_version() { curl -sf -m 4 "http://$1:8229/tanagerstall/configuration" | jq .version; }
accepts() { [ "$(put "$1" "$(document "$2")")" = 200 ]; }
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
