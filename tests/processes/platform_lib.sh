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
