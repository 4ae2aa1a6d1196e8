#!/usr/bin/env bash
# Runs the case of a folder: run-case.sh FOLDER. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
CASE_FOLDER=$temporary timeout -k 2 118 "$program" "$folder/record.txt"
code=$?
# The processes of a case end with it; their folder may be removed now.
sleep 0.3
if [ -n "${KEEP:-}" ]; then echo "kept: $temporary"; else rm -rf "$temporary"; fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
