#!/usr/bin/env bash
# Builds the stand-ins of the review scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/harness/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review/$(basename "$source" .cpp)"
done
