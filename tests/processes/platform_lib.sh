# Shell functions that run the platform's daemons on loopback addresses. To be
# sourced after tools/scripts/lib.sh by a script that sets "net", "controls" and
# "run".

bin=build/platform

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

document() {
  printf '{"version":%s,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":1000,"service":"s"}]}' "$1"
}
put() { curl -s -o /dev/null -w '%{http_code}' -m 4 -X PUT -d "$2" "http://$1:8229/tanagerstall/configuration"; }
read_version() { curl -sf -m 4 "http://$1:8229/tanagerstall/configuration" | jq .version; }
accepts() { [ "$(put "$1" "$(document "$2")")" = 200 ]; }

# start_entry N: starts entry N, also again with the same settings.
start_entry() { start_platform "entry-$1" entryd; }

# use_free_addresses: sets "net", "controls" and "replica" to loopback addresses
# of this run.
use_free_addresses() {
  net=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
  controls=("$net.1" "$net.2" "$net.3")
  replica=$net.50:8080
}

# start_fleet: starts three control processes, two entries and a stand-in for
# the replica at the address "replica".
start_fleet() {
  local i
  for i in 1 2 3; do
    control_settings $i true
    start_platform control-$i controld
  done
  for i in 1 2; do
    settings entry-$i "$net.1$i" "listen.front=$net.1$i:8221" "listen.ready=$net.1$i:8224"
    start_entry $i
  done
  build/src/tanagerstall-standin --service s --address "$replica" --entries "$net.99:1" \
    2>"$run/standin.log" &
  pids+=($!)
}

# announce_forever START: announces the incarnation of the replica that began at
# START, to the first control process that answers.
announce_forever() {
  local sequence=0 control
  while true; do
    sequence=$((sequence + 1))
    for control in "${controls[@]}"; do
      curl -s -o /dev/null -m 1 -X PUT -d "{\"service\":\"s\",\"address\":\"$replica\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":$sequence,\"born\":$1}" \
        "http://$control:8229/tanagerstall/instances/r1" && break
    done
    sleep 0.5
  done
}

# send ENTRY BODY: sends a request through an entry and prints the status.
send() {
  curl -s -o /dev/null -w '%{http_code}' -m 10 -X POST -H 'Host: h' \
    -H "Tanagerstall-Request-Id: $RANDOM$RANDOM" -d "$2" "http://$net.1$1:8221/a/x"
}
set_faults() { curl -sf -o /dev/null -X POST -d "$1" "http://$replica/faults"; }
# ran BODY: prints how often the replica ran requests with this body.
ran() { curl -sf "http://$replica/executions" | jq ".bodies[\"$1\"] // 0"; }
# reaches ENTRY COUNT: sends a request through an entry; succeeds if the replica
# has then run more than COUNT of them.
reaches() { send "$1" probe >/dev/null; [ "$(ran probe)" -gt "$2" ]; }
