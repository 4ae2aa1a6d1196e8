#!/usr/bin/env bash
# Runs the fault-injection soak test with real processes:
# soak.sh [--seed N] [--seeds N] ... The files of each seed are written to
# build/soak/, or to the folder in TANAGERSTALL_SOAK_FOLDER.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec build/tests/soak/tanagerstall-soak --programs build/platform \
  --preload build/tests/soak/libtanagerstall_soak_preload.so \
  --folder "${TANAGERSTALL_SOAK_FOLDER:-build/soak}" "$@"
