#!/usr/bin/env bash
# The directory must stop listing a gateway as soon as its graceful stop begins.
# The gateway must answer the requests in flight and end within its grace
# period. The directory must also stop listing a gateway that was killed.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 3
directory_lists() { curl -s "http://${directory[$1]}/resolve?name=shop.example&region=r&zone=brasov" | grep -q "${front[$2]}"; }
directory_omits() { ! directory_lists "$@"; }
for name in o1 o2; do curl -s "http://${endpoint_address[$name]}/standin/work?ms=1500" >/dev/null; done
for n in 1 2 3 4; do call_gateway g1 POST "/order/$n" "r$n" >"$work/answer$n" & done
sleep 0.5
kill -TERM "${pid_of[g1]}"
wait_for 2 directory_omits g2 g1
wait_for 2 directory_omits g3 g1
expect "a stopping gateway is not ready" \
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://${ready[g1]}/readiness")" = 503 ]
wait_for 4 grep -q '^200 ' "$work/answer1"
for n in 2 3 4; do wait_for 2 grep -q '^200 ' "$work/answer$n"; done
expect "requests in flight are answered" true
wait_for 6 grep -q event=stopped "$work/g1.log"
kill -KILL "${pid_of[g3]}"
wait_for 4 directory_omits g2 g3
expect "the directory still lists the gateway that runs" directory_lists g2 g2
