#!/usr/bin/env bash
# Fills the disks of five control processes one after another, the leader's
# first: changes must be accepted through each of them once all have room again.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh
use_free_addresses
controls+=("$net.4" "$net.5")
full_seconds=3
# A step-down and an election.
recovery_seconds=5

# set_full N IS_FULL: lets writes of control process N fail, or succeed again.
set_full() { echo "0 0 $2 0" >"$run/control-$1.faults"; }
for i in 1 2 3 4 5; do
  control_settings $i true
  set_full $i 0
  LD_PRELOAD=$PWD/build/tests/soak/libtanagerstall_soak_preload.so \
    TANAGERSTALL_SOAK_FAULTS=$run/control-$i.faults start_platform control-$i controld
done

version=1
# is_changed CONTROL: sends a change; succeeds if it is accepted.
is_changed() {
  version=$((version + 1))
  accepts "$1" "$version"
}
# changes_within SECONDS CONTROL: sends changes until one is accepted.
changes_within() {
  local end=$((SECONDS + $1))
  until is_changed "$2"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}
has_voters() { curl -sf -m 2 "http://$1:9464/metrics" | grep -q "^tanagerstall_voters $2"; }
leads() { curl -sf -m 2 "http://$net.$1:9464/metrics" | grep -q '^tanagerstall_leads 1'; }
# next_disk NUMBERS: prints the number of the leader, or else the first one.
next_disk() {
  local i
  for i in "$@"; do
    if leads "$i"; then
      echo "$i"
      return
    fi
  done
  echo "$1"
}

changes_within 20 "$net.1"
wait_until has_voters "$net.1" 5
left=(1 2 3 4 5)
while [ ${#left[@]} -gt 0 ]; do
  filled=$(next_disk "${left[@]}")
  set_full "$filled" 1
  end=$((SECONDS + full_seconds))
  while [ "$SECONDS" -lt "$end" ]; do
    for control in "${controls[@]}"; do
      is_changed "$control" || true
    done
  done
  set_full "$filled" 0
  grep -q '"event":"paused, disk full"' "$run/control-$filled.log" ||
    { echo "FAILED: control process $filled had nothing to write"; exit 1; }
  sleep 0.2
  mapfile -t left < <(printf '%s\n' "${left[@]}" | grep -vx "$filled" || true)
done
for control in "${controls[@]}"; do
  changes_within "$recovery_seconds" "$control" ||
    { echo "FAILED: no change is accepted through $control"; exit 1; }
done
is_newest() { [ "$(read_version "$1")" -ge "$version" ]; }
for control in "${controls[@]}"; do
  wait_until is_newest "$control"
done
echo "passed"
