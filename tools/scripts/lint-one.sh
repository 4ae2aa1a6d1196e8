#!/usr/bin/env bash
# Runs clang-tidy on one source file. Clean results are cached under a hash of
# the rules, the preprocessed source and the source, so that unchanged code is
# not checked again.
set -euo pipefail
file=$1
cache=${TANAGERSTALL_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/tanagerstall-lint}
mkdir -p "$cache"
command=$(jq -r --arg file "$PWD/$file" \
  '.[] | select(.file == $file) | .command' build/compile_commands.json |
  head -n 1)
flags=$(grep -oE -- '-(D|I|isystem|std=)[^ ]*( /[^ ]+)?' <<<"$command" |
  grep -v '"' | tr '\n' ' ')
# shellcheck disable=SC2086
key=$( { cat .clang-tidy; g++ $flags -E -P "$file"; cat "$file"; } |
  sha256sum | cut -d ' ' -f 1)
[ -e "$cache/$key" ] && exit 0
if ! output=$(clang-tidy -p build --quiet "$file" 2>&1); then
  printf 'lint: %s\n%s\n' "$file" "$output"
  exit 1
fi
touch "$cache/$key"
