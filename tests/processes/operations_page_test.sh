#!/usr/bin/env bash
# Checks that docs/OPERATIONS.md describes every event that the platform's
# daemons log.
set -euo pipefail
missing=0
while read -r event; do
  grep -qF "\`$event\`" docs/OPERATIONS.md || { echo "not in docs/OPERATIONS.md: $event"; missing=1; }
done < <(cat src/tanagerstall/process/tanagerstall_fleet_*.cpp platform/*.cpp \
  src/tanagerstall/process/tanagerstall_rollout_*.cpp \
  src/tanagerstall/version/tanagerstall_fleet_state.cpp \
  src/tanagerstall/request/tanagerstall_{forwarder,request_log}.cpp \
  src/tanagerstall/process/tanagerstall_{process_run,leader_tasks}.cpp \
  src/tanagerstall/connection/tanagerstall_{fleet,http}_*.cpp \
  src/tanagerstall/process/raft/tanagerstall_raft_member.cpp |
  tr '\n' ' ' | grep -oE '(Log(Event|Failure)|tasks_)\( *(Severity::[A-Za-z]+, *)?"[^"]+"' |
  sed -E 's/.*"([^"]+)"/\1/' | sort -u)
[ "$missing" = 0 ] && echo "passed"
