#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into build-review/:
# the project's own store, and those in review/standins.
set -euo pipefail
cd "$(dirname "$0")/.."
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release \
  "${launcher[@]}" >/dev/null
ninja -C build-review papayawheel-standin-store
for source in review/standins/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
    -o "build-review/review-$(basename "$source" .cpp)"
done
