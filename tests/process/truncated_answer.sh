#!/usr/bin/env bash
# An endpoint that cuts, chunks, delays or garbles its answers: a broken answer
# never passes as whole, and its connection is not used again.
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
# outcome TARGET: the outcome, status and body of one call.
outcome() {
  curl -sS --max-time 5 -o "$work/body" -D "$work/head" \
    -H 'papayawheel-customer: roofers' -H 'papayawheel-service: orders' \
    -H 'papayawheel-deadline-ms: 500' "http://${addresses[0]}$1"
  sed -n 's/^papayawheel-outcome: \([a-z_]*\).*/\1/Ip' "$work/head"
}
for fault in short chunked-cut no-length reset silent garbage; do
  expect "an answer that is $fault is not passed as whole" \
    [ "$(outcome "/$fault")" = unknown ]
  sleep 0.4
  for _ in 1 2 3; do
    target="/whole?n=$RANDOM"
    expect "the next answer after $fault is whole" \
      [ "$(outcome "$target")" = answered ]
    expect "it is the caller's own" [ "$(cat "$work/body")" = "whole $target" ]
  done
done
outcome /whole >/dev/null
expect "a header that stands twice is passed twice" \
  [ "$(grep -ci '^set-cookie: ' "$work/head")" -eq 2 ]
expect "a chunked whole answer is passed" [ "$(outcome /chunked)" = answered ]
expect "its body is whole" [ "$(cat "$work/body")" = "hello world" ]
expect "the endpoint that was replaced is untouched" is_up "$old"
