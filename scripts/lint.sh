#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on those that changed
# since their last clean run (all of them on a fresh machine).
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'source/*.cc' 'source/*.h' | grep -v '^source/wire/generated/')
clang-format --dry-run --Werror "${sources[@]}"
[ "${1:-}" = --format-only ] && exit 0
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
stamps=${WISTERIA_LINT_STAMPS:-${HOME:-/root}/.cache/wisteriadale-lint}
mkdir -p "$stamps"
printf '%s\n' "${sources[@]}" | grep '\.cc$' |
  xargs -P "${WISTERIA_LINT_JOBS:-$(nproc)}" -n 1 scripts/lint_one.sh "$stamps"
echo "format and lint: clean"
