#!/usr/bin/env bash
# Runs the linter on one source file, unless it was clean with the same
# preprocessed text and checks before.
set -euo pipefail
stamps=$1
file=$2
key=$( (cat .clang-tidy "$file"; g++ -std=c++20 -MM -Isource "$file" 2>/dev/null |
  tr ' \\' '\n\n' | grep -E '^source/.*\.h$' | sort -u | xargs -r cat) | sha256sum | cut -d' ' -f1)
[ -e "$stamps/$key" ] && exit 0
clang-tidy --quiet -p build "$file" 2>/dev/null || exit 1
touch "$stamps/$key"
