#!/usr/bin/env bash
# An endpoint in trouble sends answers whose status is not a number from 100 to
# 599. Callers must be told that the outcome is unknown and never get such a
# status, and interim answers must still be skipped.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_misbehaving_fleet catalogue
for status in 000 099 600 999 0200 20 2000 _200; do
  # After a broken answer the gateway sends nothing to the endpoint for a short
  # time, which must be over within a second.
  sleep 1
  answered="$(call_gateway g1 GET "/read/status-$status" "status-$status" | cut -d' ' -f1)"
  expect "status $status: the caller gets 502" [ "$answered" = 502 ]
done
sleep 1
expect "an interim answer is skipped" \
  [ "$(call_gateway g1 GET /read/early-hints early-hints | cut -d' ' -f1)" = 200 ]
expect "each counts as a broken answer of the endpoint" \
  [ "$(grep -c 'event=attempt_failed.*result=garbled' "$work/g1.log")" -eq 8 ]
expect "the gateway is still running" kill -0 "${pid_of[g1]}"
