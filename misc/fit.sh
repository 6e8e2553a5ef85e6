#!/usr/bin/env bash
# Fits a line by least squares to two columns of a CSV file of docs/data and
# prints its intercept, its slope and the largest residual.
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
    intercept = sy / n - slope * sx / n
    for (i = 1; i <= n; i++) {
      residual = Y[i] - intercept - slope * X[i]
      if (residual < 0) residual = -residual
      if (residual > max) max = residual
    }
    printf "intercept %.4g slope %.4g largest residual %.3g points %d\n", intercept, slope, max, n
  }' "$1"
