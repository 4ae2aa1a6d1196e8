#!/usr/bin/env bash
# Runs the fault soak over real processes: soak.sh [--seed N] [--seeds N] ...
# Files of a seed lie in build/soak/, or in TANAGERSTALL_SOAK_FOLDER.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec build/tests/soak/tanagerstall-soak --programs build/platform \
  --preload build/tests/soak/libtanagerstall_soak_preload.so \
  --folder "${TANAGERSTALL_SOAK_FOLDER:-build/soak}" "$@"
