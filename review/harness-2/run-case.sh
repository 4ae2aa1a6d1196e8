#!/usr/bin/env bash
# Runs the case of a folder: run-case.sh FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run. The case ends the
# processes that it started by their ids, also when it is ended itself.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=target/review-2/case-$(basename "$folder")
for needed in "$program" target/platform/tanagerstall-platform-{control,entry}d; do
  [ -x "$needed" ] || { echo "$needed is missing: build first"; exit 2; }
done
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
CASE_FOLDER=$temporary timeout -k 2 112 "$program" "$folder/record.txt" &
runner=$!
trap 'kill -TERM "$runner" 2>/dev/null' TERM INT HUP
wait "$runner"
code=$?
# After a signal to this script, wait returns before the case has ended.
while kill -0 "$runner" 2>/dev/null; do
  wait "$runner"
  code=2
done
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
