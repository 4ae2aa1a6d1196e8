#!/usr/bin/env bash
# Runs clang-tidy: without arguments on all sources, with "changed" on the
# sources that differ from main, otherwise on the given files. Files with a
# cached clean result are skipped.
set -euo pipefail
cd "$(dirname "$0")/../.."
case "${1:-}" in
  '') mapfile -t files < <(git ls-files -- 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' \
        'examples/*.cpp') ;;
  changed) mapfile -t files < <({ git diff --name-only --diff-filter=d main
        git ls-files -o --exclude-standard; } | grep -E '\.cpp$' | sort -u) ;;
  *) files=("$@") ;;
esac
[ "${#files[@]}" -eq 0 ] && exit 0
printf '%s\n' "${files[@]}" |
  xargs -P "${TANAGERSTALL_JOBS:-$(nproc)}" -n 1 tools/scripts/lint-one.sh
