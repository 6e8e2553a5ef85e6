#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into
# build-review-3/. They need only the compiler. The gateway itself is built by
# the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for name in store upstream consumer; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-3/$name" \
    "review/standins-3/$name.cpp"
done
