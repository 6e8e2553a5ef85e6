#!/usr/bin/env bash
# An endpoint answers a long upload at once and resets the connection while the
# upload is still being written. Callers must never get a part of the answer as
# a whole one, and must get an answer that arrived whole.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_misbehaving_fleet orders
upload_bytes=8388608
head -c "$upload_bytes" /dev/zero >"$work/upload"
# upload ID: uploads to the path and with the request id ID, and prints the
# status and the body.
upload() {
  # After a broken answer the gateway sends nothing to the endpoint for a short
  # time, which must be over within a second.
  sleep 1
  curl -s --max-time 10 -X POST -H "Host: shop.example" -H "Expect:" \
    -H "Papayawheel-Request-Id: $1" -H "Papayawheel-Deadline-Ms: 4000" \
    --data-binary "@$work/upload" -o "$work/body" -w '%{http_code}' \
    "http://${front[g1]}/order/$1"
  echo " $(head -c 40 "$work/body")"
}
for run in 1 2 3 4 5; do
  for name in early-part early-chunk; do
    answered="$(upload "$name")"
    expect "$name, run $run: the caller gets 502" [ "${answered%% *}" = 502 ]
  done
done
expect "a whole answer is passed on" [ "$(upload early-whole)" = "200 whole" ]
expect "a whole refusal is passed on" [ "$(upload early-refusal)" = "413 refused" ]
expect "each part counts as a broken answer of the endpoint" \
  [ "$(grep -c 'event=attempt_failed.*result=garbled' "$work/g1.log")" -eq 10 ]
expect "the gateway is still running" kill -0 "${pid_of[g1]}"
