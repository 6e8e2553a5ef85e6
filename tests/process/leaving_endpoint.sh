#!/usr/bin/env bash
# One endpoint is published as leaving and another one reports in its answers
# that it is draining. Neither may get new requests from 1.5 s later on.
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
expect "an endpoint published as leaving gets no new requests" [ "$(runs 0)" -eq "$first" ]
expect "an endpoint that reports draining gets no new requests" [ "$(runs 1)" -eq "$second" ]
wait "$caller"
cat "$work/leaving.result"
expect "all calls are answered" \
  [ "$(field leaving answered)" -eq "$(field leaving sent)" ]
