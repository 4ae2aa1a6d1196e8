#!/usr/bin/env bash
# Runs the experiment with fixed seeds and writes its table, JSON results and
# HTML page to build/measurements/. Arguments are passed on to the experiment.
set -euo pipefail
cd "$(dirname "$0")/../.."
mkdir -p build/measurements
build/src/tanagerstall-load experiment --seed 1 --seeds 5 --seconds 300 \
  --json build/measurements/experiment.json \
  --report build/measurements/experiment.html "$@" |
  tee build/measurements/experiment.md
