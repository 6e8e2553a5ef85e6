#!/usr/bin/env bash
# Checks that every test that docs/PROMISES.md names exists. Needs a build.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=0
tests="$(build/papayawheel-tests --list-test-cases --no-intro)"
while IFS= read -r line; do
  name="$(sed 's/.*| \(unit\|process\): \(.*\) |$/\2/' <<<"$line")"
  case "$line" in
    *"| unit: "*) grep -qxF "$name" <<<"$tests" || { echo "docs/PROMISES.md names unit test \"$name\", which does not exist"; missing=1; } ;;
    *"| process: "*) [ -f "tests/process/$name.sh" ] || { echo "docs/PROMISES.md names process test \"$name\", which does not exist"; missing=1; } ;;
  esac
done < <(grep -E '\| (unit|process): ' docs/PROMISES.md)
[ "$missing" -eq 0 ] && echo "all named tests exist"
