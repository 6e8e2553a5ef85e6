#!/usr/bin/env bash
# An endpoint truncates, chunks, delays or corrupts its answers. A broken answer
# must never be passed on as a complete one, and its connection must not be used
# again.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_misbehaving_small_fleet
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
expect "the endpoint that was replaced is still running" is_up "$replaced_endpoint"
