#!/usr/bin/env bash
# An endpoint is suspended while its connections stay open. Requests must be
# served by the others, and load probes to it must not accumulate.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 1
# connections_to NAME: prints the number of established connections to the port
# of an endpoint, counted on the side of the gateway.
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
expect "no load probe stays open" [ "$(connections_to c1)" -le "$before" ]
