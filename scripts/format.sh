#!/usr/bin/env bash
# Formats all sources in place.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard 'source/*.cc' 'source/*.h' |
  grep -v '^source/wire/generated/' | xargs clang-format -i
