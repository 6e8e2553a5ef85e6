#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into
# build-review-2/: the project's stand-in for the store and this review's own
# endpoint. The gateway itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -G Ninja >/dev/null
ninja -C build-review-2 papayawheel-standin-store
g++ -std=c++20 -O1 -pthread -DASIO_STANDALONE \
  -o build-review-2/reading-endpoint review/standins-2/reading_endpoint.cpp
