#!/usr/bin/env bash
# A replica says that it drains, and in a second round that it has left, to a
# control process that is killed right after it has answered. Guards against an
# acknowledgement that is lost with its process, so that entries go on sending
# requests to the replica.
set -euo pipefail
run=$(mktemp -d)
source tools/scripts/lib.sh
trap 'kill_all; rm -rf "$run"' EXIT
source tests/processes/platform_lib.sh
# Higher than that of any announcement, so that none supersedes the last message.
last_sequence=1000000
drain_seconds=3
other_sequence=0

use_free_addresses
start_fleet
wait_until accepts "${controls[0]}" 5

# announce_other CONTROL: announces another replica. All who wait for news of the
# control process are answered, so that none waits until it asks again.
announce_other() {
  other_sequence=$((other_sequence + 1))
  curl -s -o /dev/null -m 4 -X PUT -d "{\"service\":\"other\",\"address\":\"$net.51:8080\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":$other_sequence}" \
    "http://$1:8229/tanagerstall/instances/r2"
}
# drain CONTROL START, leave CONTROL START: say that the incarnation of the
# replica leaves; print the status of the answer, 000 without one.
drain() {
  curl -s -o /dev/null -w '%{http_code}' -m 4 -X PUT -d "{\"service\":\"s\",\"address\":\"$replica\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"draining\",\"coldRemainingMs\":0,\"sequence\":$last_sequence,\"born\":$2}" \
    "http://$1:8229/tanagerstall/instances/r1" || true
}
leave() {
  curl -s -o /dev/null -w '%{http_code}' -m 4 -X DELETE -d "{\"born\":$2}" \
    "http://$1:8229/tanagerstall/instances/r1" || true
}
is_acknowledged() { [ "$("$1" "$2" "$3")" = 200 ]; }

# check MESSAGE START: the incarnation that began at START announces itself, and
# sends its last message to the first control process. No other process gets it
# before the first one is killed.
check() {
  local message=$1 start=$2 process count
  announce_forever "$start" &
  local announcer=$!
  pids+=($announcer)
  for i in 1 2; do
    wait_until reaches $i "$(ran probe)"
  done
  kill "$announcer"
  wait "$announcer" 2>/dev/null || true

  for process in control-2 control-3 entry-1 entry-2; do
    kill -STOP "$(pid_of $process)"
  done
  announce_other "${controls[0]}"
  local answer
  answer=$("$message" "${controls[0]}" "$start")
  local acknowledged_at=$SECONDS
  kill -KILL "$(pid_of control-1)"
  for process in control-2 control-3 entry-1 entry-2; do
    kill -CONT "$(pid_of $process)"
  done
  if [ "$answer" != 200 ]; then
    # Without an acknowledgement the replica calls the next control process.
    wait_until is_acknowledged "$message" "${controls[1]}" "$start"
    acknowledged_at=$SECONDS
  fi
  while [ $((SECONDS - acknowledged_at)) -le $drain_seconds ]; do
    sleep 0.1
  done
  count=$(ran probe)
  for i in 1 2; do
    send $i probe >/dev/null
  done
  [ "$(ran probe)" -eq "$count" ] || {
    echo "FAILED: $message: requests reached the replica after the answer $answer"
    exit 1
  }
  start_platform control-1 controld
}

check drain 1
check leave 2
echo "passed"
