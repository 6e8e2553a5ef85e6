#!/usr/bin/env bash
# An endpoint in trouble sends answers with an invalid status or with lines in
# the head that are no header fields. Callers of an entry must be told that the
# outcome is unknown and never get such an answer.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 1
bad="127.0.0.1:$(free_port)"
start bad papayawheel-standin-misbehaving --address "$bad"
endpoint_addresses=("$bad")
revision="$(publish fleet "$(small_fleet_json)")"
for address in "${addresses[@]}"; do wait_for 10 has_revision "$address" "$revision"; done
# outcome TARGET: sends one call and prints the outcome that its answer reports.
outcome() {
  curl -sS --max-time 5 -o "$work/body" -D "$work/head" \
    -H 'papayawheel-customer: roofers' -H 'papayawheel-service: orders' \
    -H 'papayawheel-deadline-ms: 500' "http://${addresses[0]}$1"
  sed -n 's/^papayawheel-outcome: \([a-z_]*\).*/\1/Ip' "$work/head"
}
expect "an answer with usual lines is passed on" [ "$(outcome /line-usual)" = answered ]
for fault in status-000 status-099 status-600 status-0200 line-blank \
  line-blank-at-end line-blank-at-start line-continued line-control \
  line-no-colon line-blank-length; do
  expect "an answer with the fault \"$fault\" is not passed on" \
    [ "$(outcome "/$fault")" = unknown ]
  sleep 0.4
    expect "an answer after it is passed on" [ "$(outcome /whole)" = answered ]
  expect "it is the caller's own" [ "$(cat "$work/body")" = "whole /whole" ]
done
