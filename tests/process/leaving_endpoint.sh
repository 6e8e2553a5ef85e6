#!/usr/bin/env bash
# An endpoint leaves, by the published mark and by its own word: it gets no new
# work a second later.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 4
runs() {
  request GET "${endpoint_addresses[$1]}/standin/runs" |
    sed 's/.*"runs":\([0-9]*\).*/\1/'
}
load leaving 8000 --rate 200 --order-percent 100 >/dev/null &
caller=$!
sleep 1
publish fleet "$(small_fleet_json e0)" >/dev/null
request PUT "${endpoint_addresses[1]}/standin/fault" '{"draining":true}' >/dev/null
sleep 1.5
first=$(runs 0) second=$(runs 1)
sleep 3
expect "no new work by the published mark" [ "$(runs 0)" -eq "$first" ]
expect "no new work by its own word" [ "$(runs 1)" -eq "$second" ]
wait "$caller"
cat "$work/leaving.result"
expect "all calls are answered" \
  [ "$(field leaving answered)" -eq "$(field leaving sent)" ]
