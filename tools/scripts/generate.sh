#!/usr/bin/env bash
# Regenerates the committed C++ code from the Cap'n Proto schemas.
set -euo pipefail
cd "$(dirname "$0")/../../src/tanagerstall/internal"
capnp compile -oc++ ./*.capnp
