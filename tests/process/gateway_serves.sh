#!/usr/bin/env bash
# Gateways discover each other, serve published routes, apply configuration
# changes, send nothing to a draining endpoint, ignore unreadable entries and
# reload their settings.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 3
expect "a read is answered by the route's service" \
  grep -q '^200 c[12] GET /read/7' <<<"$(call_gateway g1 GET /read/7 a1)"
expect "an order is answered by the route's service" \
  grep -q '^200 o[12] POST /order/7' <<<"$(call_gateway g2 POST /order/7 a2)"
expect "an unknown route is not found" \
  grep -q '^404 ' <<<"$(call_gateway g3 GET /other/7 a3)"
answer="$(curl -s "http://${directory[g1]}/resolve?name=shop.example&region=r&zone=brasov")"
for name in g1 g2 g3; do
  expect "the directory names $name" grep -q "${front[$name]}" <<<"$answer"
done

put op/config "$(configuration 9 orders)"
for name in g1 g2 g3; do
  wait_for 2 gateway_has_configuration "$name" 9
  expect "$name serves by the new configuration" \
    grep -q '^200 o[12] GET /read/8' <<<"$(call_gateway "$name" GET /read/8 "b$name")"
done

put servers/o1 "$(endpoint_entry o1 "${endpoint_address[o1]}" orders draining 1000)"
sleep 2
before="$(executed_requests o1)"
for n in 1 2 3 4 5 6; do call_gateway "g$((n % 3 + 1))" POST /order/9 "d$n" >/dev/null; done
expect "a draining endpoint gets no new work" [ "$(executed_requests o1)" = "$before" ]

put servers/o3 '{"address":17,"info":{"service":"orders"}}'
put servers/o4 'no document at all'
wait_for 2 grep -q 'event=endpoint_unreadable endpoint=o4' "$work/g1.log"
expect "a request is served despite unreadable entries" \
  grep -q '^200 o2 POST /order/10' <<<"$(call_gateway g1 POST /order/10 e1)"

kill -HUP "${pid_of[g1]}"
wait_for 3 grep -q event=reloaded "$work/g1.log"
echo "log-level = debug" >>"$work/g2.settings"
wait_for 5 grep -q event=reloaded "$work/g2.log"
echo "no-such-setting = 1" >>"$work/g3.settings"
wait_for 5 grep -q event=reload_refused "$work/g3.log"
for name in g1 g2 g3; do
  expect "$name serves after the reload" \
    grep -q '^200 ' <<<"$(call_gateway "$name" GET /read/11 "f$name")"
done
