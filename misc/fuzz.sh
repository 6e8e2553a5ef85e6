#!/usr/bin/env bash
# Builds the fuzz targets of tests/fuzz with clang and runs each of them on its
# corpus. Inputs that make a target fail are stored in build-fuzz/found and fail
# the run.
# Usage: misc/fuzz.sh [SECONDS-PER-TARGET]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-4}"
CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DPAPAYAWHEEL_FUZZERS=ON \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
ninja -C build-fuzz fuzzers >/dev/null
mkdir -p build-fuzz/found
failed=0
for target in answer documents gossip requests settings; do
  mkdir -p "build-fuzz/corpus/$target"
  # With a fixed seed every run generates the same inputs.
  if build-fuzz/papayawheel-fuzz-$target -seed=20261204 -close_fd_mask=3 \
    -max_total_time="$seconds" -timeout=5 -rss_limit_mb=1024 -max_len=70000 \
    -artifact_prefix="build-fuzz/found/$target-" -print_final_stats=1 \
    "build-fuzz/corpus/$target" "tests/fuzz/corpus/$target" \
    >"build-fuzz/$target.log" 2>&1; then
    echo "fuzz $target: $(sed -n 's/^stat::number_of_executed_units: *//p' "build-fuzz/$target.log") inputs, no finding"
  else
    echo "fuzz $target: FAILED, see build-fuzz/$target.log"
    tail -25 "build-fuzz/$target.log"
    failed=1
  fi
done
exit "$failed"
