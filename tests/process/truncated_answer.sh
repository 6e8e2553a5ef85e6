#!/usr/bin/env bash
# An endpoint truncates, chunks, delays or corrupts its answers. A broken answer
# must never be passed on as a complete one, and its connection must not be used
# again.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 1
bad="127.0.0.1:$(free_port)"
start bad papayawheel-standin-misbehaving --address "$bad"
endpoint_addresses+=("$bad")
old="${endpoint_addresses[0]}"
endpoint_addresses=("$bad")
revision="$(publish fleet "$(small_fleet_json)")"
for address in "${addresses[@]}"; do wait_for 10 has_revision "$address" "$revision"; done
# outcome TARGET: sends one call and prints the outcome that its answer reports.
# Its head and body are in $work/head and $work/body.
outcome() {
  curl -sS --max-time 5 -o "$work/body" -D "$work/head" \
    -H 'papayawheel-customer: roofers' -H 'papayawheel-service: orders' \
    -H 'papayawheel-deadline-ms: 500' "http://${addresses[0]}$1"
  sed -n 's/^papayawheel-outcome: \([a-z_]*\).*/\1/Ip' "$work/head"
}
for fault in short chunked-cut no-length reset silent garbage; do
  expect "an answer with the fault \"$fault\" is not passed on as complete" \
    [ "$(outcome "/$fault")" = unknown ]
  sleep 0.4
  for _ in 1 2 3; do
    target="/whole?n=$RANDOM"
    expect "an answer after the fault \"$fault\" is complete" \
      [ "$(outcome "$target")" = answered ]
    expect "it answers the caller's own request" [ "$(cat "$work/body")" = "whole $target" ]
  done
done
outcome /whole >/dev/null
expect "a header that occurs twice is passed on twice" \
  [ "$(grep -ci '^set-cookie: ' "$work/head")" -eq 2 ]
expect "a complete chunked answer is passed on" [ "$(outcome /chunked)" = answered ]
expect "the body of the chunked answer is complete" [ "$(cat "$work/body")" = "hello world" ]
expect "the endpoint that was replaced is still running" is_up "$old"
