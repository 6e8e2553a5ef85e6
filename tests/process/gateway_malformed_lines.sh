#!/usr/bin/env bash
# An endpoint in trouble sends answers with lines in the head that are no header
# fields. Callers must be told that the outcome is unknown and never get such an
# answer.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_misbehaving_fleet catalogue
expect "an answer with usual lines is passed on" \
  [ "$(call_gateway g1 GET /read/line-usual line-usual)" = "200 ok" ]
for line in blank blank-at-end blank-at-start continued control no-colon blank-length; do
  answered="$(call_gateway g1 GET "/read/line-$line" "line-$line" | cut -d' ' -f1)"
  expect "line \"$line\": the caller gets 502" [ "$answered" = 502 ]
  # After a broken answer the gateway sends nothing to the endpoint for a short
  # time, which must be over within a second.
  sleep 1
done
expect "each counts as a broken answer of the endpoint" \
  [ "$(grep -c 'event=attempt_failed.*result=garbled' "$work/g1.log")" -eq 7 ]
expect "the gateway is still running" kill -0 "${pid_of[g1]}"
