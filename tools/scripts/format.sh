#!/usr/bin/env bash
# Formats the sources in place. With --check, only reports differences and fails
# if there are any.
set -euo pipefail
cd "$(dirname "$0")/../.."
mapfile -t files < <(git ls-files -co --exclude-standard -- \
  'src/*.cpp' 'src/*.hpp' 'platform/*.cpp' 'platform/*.hpp' 'tests/*.cpp' 'tests/*.hpp' 'examples/*.cpp')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
