#!/usr/bin/env bash
# The store comes back from a copy that lacks its latest changes, and gives their
# revisions out again. A newer configuration must stay in force, also on a
# gateway that starts just then; an endpoint that has left must not be used
# again; and later changes must arrive.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 3
set_store_fault copy
put op/config "$(configuration 9 orders)"
remove servers/o1
for name in g1 g2 g3; do wait_for 6 gateway_has_configuration "$name" 9; done
sleep 2
set_store_fault down
kill -KILL "${pid_of[g3]}"
sleep 1
before="$(executed_requests o1)"
set_store_fault restore
start_gateway g3 3
wait_for 5 gateway_is_ready g3
for round in 1 2 3; do
  sleep 0.5
  for name in g1 g2 g3; do
    expect "$name keeps the configuration that the store has lost" \
      gateway_has_configuration "$name" 9
    call_gateway "$name" POST /order/1 "r$round$name" >/dev/null
  done
done
expect "an endpoint that has left gets no requests" [ "$(executed_requests o1)" = "$before" ]
put op/config "$(configuration 9 orders)"
put op/config "$(configuration 11 catalogue)"
for name in g1 g2 g3; do wait_for 2 gateway_has_configuration "$name" 11; done
# Twice in a row, with a change between.
set_store_fault copy
put op/config "$(configuration 13 orders)"
for name in g1 g2 g3; do wait_for 2 gateway_has_configuration "$name" 13; done
set_store_fault restore
sleep 0.3
set_store_fault restore
put op/config "$(configuration 15 catalogue)"
for name in g1 g2 g3; do wait_for 2 gateway_has_configuration "$name" 15; done
