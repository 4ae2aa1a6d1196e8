#!/usr/bin/env bash
# Untrusted clients at the port of a control process for operators and replicas:
# whatever they send, the process lives, stays within its memory and descriptors
# and answers others.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh
source tests/processes/untrusted_clients_lib.sh

start_limited_fleet
limit_settings control-1
reads() { read_version "${controls[0]}" >/dev/null; }
for row in "${rows[@]}"; do
  restart control-1 controld
  wait_until reads
  check_row "$row" "$(pid_of control-1)" "${controls[0]}" 8229 reads
done
end_rows
