#!/usr/bin/env bash
# Installs the dependencies, builds, checks the format, lints, runs the fuzz
# targets and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/install.sh
misc/build.sh
misc/build_deployed.sh
misc/lint.sh
misc/fuzz.sh
misc/run_tests.sh
