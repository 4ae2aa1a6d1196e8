#!/usr/bin/env bash
# Measures the figures that docs/CAPACITY.md is based on. Prints JSON lines:
# first the presence exchange, simulated for several numbers of entries and
# upstreams; then, for processes on loopback and several numbers of entries, the
# processor time and memory of the control process and of one entry, the time to
# distribute a configuration, and the bytes that one entry sends to its peers.
set -euo pipefail
cd "$(dirname "$0")/../.."
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
seconds=${1:-5}

for size in "8 430" "38 430" "95 1075" "190 2150" "380 4300" "380 1000"; do
  # shellcheck disable=SC2086
  build/tools/measure/tanagerstall-measure-presence $size
done

# ticks NAME: prints the processor time of a process so far, in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$(pid_of "$1")/stat"; }
memory_kb() { awk '/^VmRSS/ {print $2}' "/proc/$(pid_of "$1")/status"; }
metric() { curl -sf "http://$1/metrics" | sed -n "s/^tanagerstall_$2 //p"; }
hertz=$(getconf CLK_TCK)

# core_share NAME: prints the processor time of a process during the next
# $seconds as a percentage of one core.
core_share() {
  local before
  before=$(ticks "$1")
  sleep "$seconds"
  echo "$(ticks "$1") $before $seconds $hertz" |
    awk '{printf "%.2f", 100 * ($1 - $2) / $3 / $4}'
}

# in_force REVISION: succeeds if every entry has at least this revision.
in_force() {
  "$bin/tanagerctl" status --control "$operators" --output json |
    jq -e --argjson n "$entries" --argjson r "$1" \
      '[.. | objects | select(has("draining")) | .revision] |
       length >= $n and min >= $r' >/dev/null
}

for entries in 1 8 16 32; do
  start_control control
  rpc=$(address_of control rpc)
  operators=$(address_of control operators)
  for ((i = 0; i < entries; ++i)); do
    start "entry-$i" tanagerstall-entryd --id "entry-$i" --control "$rpc" \
      --traffic-threads 1
  done
  "$bin/tanagerctl" apply --control "$operators" -f examples/records >/dev/null
  start_ms=$(date +%s%3N)
  wait_until in_force 1
  fan_out=$(($(date +%s%3N) - start_ms))
  sleep 6
  entry=$(address_of entry-0 callers)
  sent=$(metric "$entry" peer_bytes_sent_total)
  control_share=$(core_share control)
  sent=$((($(metric "$entry" peer_bytes_sent_total) - sent) / seconds))
  entry_share=$(core_share entry-0)
  jq -nc --argjson entries "$entries" --argjson fan_out "$fan_out" \
    --argjson control "$control_share" --argjson entry "$entry_share" \
    --argjson memory "$(memory_kb control)" --argjson sent "$sent" \
    --argjson entry_memory "$(memory_kb entry-0)" \
    '{entries: $entries, fan_out_ms: $fan_out, control_core_percent: $control,
      control_kb: $memory, entry_core_percent: $entry,
      entry_kb: $entry_memory, peer_bytes_sent_s: $sent}'
  stop_all
  rm -rf "$run"/*
done
