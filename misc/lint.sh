#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on them. Needs the
# compile commands of a build.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- '*.h' '*.cpp' |
  xargs clang-format --dry-run --Werror
git ls-files -co --exclude-standard -- '*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>"build/lint.err" ||
  { grep -vE 'warnings? (generated|treated)|Suppressed|Use -header-filter' build/lint.err; exit 1; }
echo "lint passed"
