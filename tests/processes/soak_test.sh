#!/usr/bin/env bash
# Runs the fault soak briefly with each seed of tests/soak/seeds.txt. Guarantees
# with a time bound are checked only in longer manual runs.
set -euo pipefail
run=$(mktemp -d)
trap 'rm -rf "$run"' EXIT
export TANAGERSTALL_SOAK_FOLDER=$run/files
while read -r seed rounds faults cause; do
  [ "$seed" != '#' ] || continue
  chosen=()
  [ "$faults" = all ] || chosen=(--faults "$faults")
  if ! tools/scripts/soak.sh --seed "$seed" --rounds "$rounds" --without-times \
    "${chosen[@]}" >"$run/log"; then
    echo "FAILED: seed $seed ($cause)"
    grep '"event":"finding"' "$run/log" || tail -n 20 "$run/log"
    exit 1
  fi
done <tests/soak/seeds.txt
echo "passed"
