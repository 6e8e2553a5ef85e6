#!/usr/bin/env bash
# Builds with the command of deploy/system.toml, as a deployment does. Checks
# that the packages, the template, the program and the version in production that
# the file names exist.
set -euo pipefail
cd "$(dirname "$0")/.."
value_of() { sed -n "s/^$1 = \"\(.*\)\"\$/\1/p" deploy/system.toml; }
packages="$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')"
[ -n "$packages" ]
for package in $packages; do
  grep -qw -- "$package" misc/install.sh ||
    { echo "deploy/system.toml: package \"$package\" is not in misc/install.sh"; exit 1; }
done
[ -f "$(value_of template)" ]
production="$(value_of production)"
# A shallow clone has no earlier versions.
[ "$(git rev-parse --is-shallow-repository)" = true ] ||
  git merge-base --is-ancestor "$production" HEAD ||
  { echo "deploy/system.toml: production \"$production\" is no earlier commit"; exit 1; }
CMAKE_CXX_COMPILER_LAUNCHER=ccache bash -c "$(value_of build)"
program="$(value_of run)"
"${program%% *}" --version
