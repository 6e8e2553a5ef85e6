#!/usr/bin/env bash
# Fits a line by least squares through two columns of a file of docs/data and
# prints its start, its slope and the largest distance of a point from it.
# Usage: misc/fit.sh FILE X-COLUMN Y-COLUMN [COLUMN=VALUE]
set -euo pipefail
awk -F, -v x="$2" -v y="$3" -v only="${4:-}" '
  NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i; split(only, want, "="); next }
  $at[x] !~ /^[0-9.]+$/ || $at[y] !~ /^[0-9.]+$/ { next }
  only != "" && $at[want[1]] != want[2] { next }
  { n++; X[n] = $at[x]; Y[n] = $at[y]; sx += X[n]; sy += Y[n] }
  END {
    for (i = 1; i <= n; i++) {
      sxy += (X[i] - sx / n) * (Y[i] - sy / n)
      sxx += (X[i] - sx / n) ^ 2
    }
    slope = sxy / sxx
    start = sy / n - slope * sx / n
    for (i = 1; i <= n; i++) {
      off = Y[i] - start - slope * X[i]
      if (off < 0) off = -off
      if (off > most) most = off
    }
    printf "start %.4g slope %.4g largest distance %.3g points %d\n", start, slope, most, n
  }' "$1"
