#!/usr/bin/env bash
# The store is down, does not answer or has lost its history of changes.
# Gateways must go on serving, a restarted one must get the configuration from
# its peers, and changes must arrive soon after the store is back.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 3
for fault in down hang; do
  set_store_fault "$fault"
  sleep 3
  for name in g1 g2 g3; do
    expect "$name serves while the store is in fault \"$fault\"" \
      grep -q '^200 ' <<<"$(call_gateway "$name" GET /read/1 "$fault$name")"
  done
  kill -KILL "${pid_of[g3]}"
  start_gateway g3 3
  wait_for 5 gateway_is_ready g3
  wait_for 5 gateway_has_configuration g3 "$([ "$fault" = down ] && echo 7 || echo 9)"
  set_store_fault none
  put op/config "$(configuration "$([ "$fault" = down ] && echo 9 || echo 11)" orders)"
  for name in g1 g2 g3; do
    wait_for 6 gateway_has_configuration "$name" "$([ "$fault" = down ] && echo 9 || echo 11)"
  done
done
set_store_fault forget
remove servers/o1
put op/config "$(configuration 13 orders)"
for name in g1 g2 g3; do wait_for 6 gateway_has_configuration "$name" 13; done
# Requests may still reach the endpoint until its removal is in force on every
# gateway.
sleep 2
before="$(executed_requests o1)"
for n in 1 2 3 4 5 6; do call_gateway "g$((n % 3 + 1))" POST /order/9 "d$n" >/dev/null; done
expect "a removed endpoint gets no requests" [ "$(executed_requests o1)" = "$before" ]
