#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
# One job per processor. Compilers need much memory, and a build may use only
# half of the machine's.
ninja -C build -j "$(nproc)"
