#!/usr/bin/env bash
# Builds all targets in build/ and writes the output to build/build.log. Prints
# only the errors of a failed build.
set -euo pipefail
cd "$(dirname "$0")/../.."
export CCACHE_BASEDIR=${CCACHE_BASEDIR:-$PWD} CCACHE_NOHASHDIR=1
mkdir -p build
if ! { cmake -S . -B build -G Ninja &&
  cmake --build build -- -k 0 -j "${TANAGERSTALL_JOBS:-$(nproc)}"; } \
  >build/build.log 2>&1; then
  grep -E -A4 "error:|Error at|undefined" build/build.log | grep -v '^/usr/bin/ccache' | head -n 80
  exit 1
fi
tail -n 1 build/build.log
