#!/usr/bin/env bash
# An endpoint of an entry answers with a status that tells the caller that the
# call was not run, but does not state so. A caller that reads only the status
# must learn the same as one that reads papayawheel-outcome. Guards against a
# call that is made again by a caller that trusted such a status.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_misbehaving_small_fleet
# answer TARGET: prints the status, the outcome and the error of one call.
answer() {
  local reported
  reported="$(outcome "$1")"
  echo "$(sed -n 's/^HTTP\/1.1 \([0-9]*\).*/\1/p' "$work/head") $reported" \
    "$(sed -n 's/^papayawheel-error: \([a-z_]*\).*/\1/Ip' "$work/head")"
}
for status in 503 429 408 421; do
  expect "a refusal with $status that states nothing is replaced" \
    [ "$(answer "/refuse-$status-stamped")" = "502 unknown unconfirmed_refusal" ]
  expect "one line tells which status of which endpoint was replaced" \
    wait_for 2 grep -q "event=refusal_replaced customer=roofers service=orders .*endpoint=e0 endpoint_status=$status " "$work/a1.log"
done
for status in 400 404 409 500 502 504; do
  expect "$status promises nothing and is passed on" \
    [ "$(answer "/refuse-$status-stamped")" = "$status answered " ]
done
expect "each is counted" grep -qx 'papayawheel_errors_total{kind="unconfirmed_refusal"} 4' \
  <(curl -s "http://${addresses[0]}/metrics")
