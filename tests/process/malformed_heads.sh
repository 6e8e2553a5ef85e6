#!/usr/bin/env bash
# An endpoint in trouble sends answers with an invalid status or with lines in
# the head that are no header fields. Callers of an entry must be told that the
# outcome is unknown and never get such an answer.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_misbehaving_small_fleet
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
