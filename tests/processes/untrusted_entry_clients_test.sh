#!/usr/bin/env bash
# Untrusted clients at the port of an entry that callers use: whatever they send,
# the entry lives, stays within its memory and descriptors and answers others.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh
source tests/processes/untrusted_clients_lib.sh

start_limited_fleet
limit_settings entry-1
for row in "${rows[@]}"; do
  restart entry-1 entryd
  wait_until answers
  check_row "$row" "$(pid_of entry-1)" "$net.11" 8221 answers
done
end_rows
