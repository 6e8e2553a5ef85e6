#!/usr/bin/env bash
# An endpoint stands still while its connections stay open: requests are served
# by the others, and questions for its load do not pile up.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 1
# Established connections to an endpoint's port, seen from the callers' side.
connections_to() {
  local port
  printf -v port '%04X' "${endpoint_address[$1]#*:}"
  awk -v port=":$port" '$3 ~ port "$" && $4 == "01"' /proc/net/tcp | wc -l
}
for n in 1 2 3 4; do call_gateway g1 GET "/read/$n" "w$n" >/dev/null; done
kill -STOP "${pid_of[c1]}"
before="$(connections_to c1)"
for n in $(seq 1 40); do
  call_gateway g1 GET "/read/$n" "s$n" >>"$work/answers"
  sleep 0.1
done
sleep 0.3
expect "requests are served" [ "$(grep -c '^200 c2' "$work/answers")" -ge 38 ]
expect "no question stays open" [ "$(connections_to c1)" -le "$before" ]
