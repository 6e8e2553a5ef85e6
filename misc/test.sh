#!/usr/bin/env bash
# Installs, builds, checks the format, lints and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/install.sh
misc/build.sh
misc/build_deployed.sh
misc/lint.sh
misc/fuzz.sh
misc/run_tests.sh
