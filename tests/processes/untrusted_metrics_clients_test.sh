#!/usr/bin/env bash
# Untrusted clients at the port for metrics of an entry: whatever they send, the
# entry lives, stays within its memory and descriptors and answers others.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh
source tests/processes/untrusted_clients_lib.sh

start_limited_fleet
limit_settings entry-1
reads() { curl -sf -o /dev/null -m 4 "http://$net.11:9464/metrics"; }
for row in "${rows[@]}"; do
  restart entry-1 entryd
  wait_until reads
  check_row "$row" "$(pid_of entry-1)" "$net.11" 9464 reads
done
end_rows
