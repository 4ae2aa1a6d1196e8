#!/usr/bin/env bash
# Checks that every daemon prints its version and options, refuses unknown
# options, and validates all settings with --check-settings without starting.
set -euo pipefail
run=$(mktemp -d)
trap 'rm -rf "$run"' EXIT

# expect STATUS TEXT COMMAND...: runs the command and checks its exit status and
# that its output contains TEXT.
expect() {
  local wanted=$1 text=$2 status=0
  shift 2
  "$@" >"$run/out" 2>&1 || status=$?
  [ "$status" = "$wanted" ] && grep -qF -- "$text" "$run/out" || {
    echo "FAILED: $*: status $status instead of $wanted, or no \"$text\" in:"
    cat "$run/out"
    exit 1
  }
}

for program in build/src/tanagerstall-{entryd,controld,standin} \
  build/platform/tanagerstall-platform-{entryd,controld}; do
  expect 0 "--check-settings" "$program" --help
  expect 0 "tanagerstall 0." "$program" --version
  expect 2 "error:" "$program" --no-such-option
done

expect 0 "the settings are valid" build/src/tanagerstall-entryd --id e \
  --control 127.0.0.1:7 --check-settings
expect 2 "error: --control" build/src/tanagerstall-entryd --id e \
  --control nowhere --check-settings
expect 0 "the settings are valid" build/src/tanagerstall-controld --id c \
  --data-folder "$run/data" --check-settings
[ ! -e "$run/data" ] || { echo "FAILED: --check-settings created the data folder"; exit 1; }

cat >"$run/entry.conf" <<'END'
nodeName=e
ipAddress=127.0.0.1
zone=a
region=north
internalPortRange=7600,7615
listen.front=127.0.0.1:8221
listen.ready=127.0.0.1:8224
seeds=127.0.0.1:8229
bounds.graceS=8
bounds.usageWindowS=5
bounds.retryBudgetRatio=0.2
bounds.retryBudgetSlack=56
a.field.from.later=1
END
export TANAGERSTALL_CONFIG=$run/entry.conf
expect 0 "the settings are valid" build/platform/tanagerstall-platform-entryd \
  --check-settings
sed -i 's/^bounds.graceS=8/bounds.graceS=long/' "$run/entry.conf"
expect 2 "the setting bounds.graceS is no number" \
  build/platform/tanagerstall-platform-entryd --check-settings
TANAGERSTALL_CONFIG=$run/nowhere expect 2 "can't read the settings file" \
  build/platform/tanagerstall-platform-entryd --check-settings
echo passed
