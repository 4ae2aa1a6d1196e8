#!/usr/bin/env bash
# Installs the required packages, builds and runs the tests.
set -euo pipefail
cd "$(dirname "$0")/../.."
tools/scripts/install.sh
tools/scripts/build.sh
tools/scripts/run-tests.sh
