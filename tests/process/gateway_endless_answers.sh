#!/usr/bin/env bash
# An endpoint sends answers without end. Callers must be told at once that the
# outcome is unknown, and the memory of the gateway must stay bounded.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
allocate_gateway_ports
start_store
put op/config "$(configuration 7 catalogue)"
endpoint_address[bad]="127.0.0.1:$(free_port)"
start bad papayawheel-standin-misbehaving --address "${endpoint_address[bad]}"
wait_for 5 is_up "${endpoint_address[bad]}"
put servers/bad "$(endpoint_entry bad "${endpoint_address[bad]}" catalogue ready 1000)"
gateways=(g1)
write_gateway_settings g1 1
echo "answer-body-bytes = 1048576" >>"$work/g1.settings"
start_gateway g1 1
wait_for 10 gateway_is_ready g1
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/${pid_of[g1]}/status"; }
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/${pid_of[g1]}/status"; }
before="$(rss_kb)"
for fault in head value body chunks chunk trailers interim garbage; do
  # After a broken answer the gateway sends nothing to the endpoint for a short
  # time, which must be over within a second.
  sleep 1
  began=$(date +%s%N)
  status="$(call_gateway g1 GET "/read/endless-$fault" "id-$fault" | cut -d' ' -f1)"
  took=$((($(date +%s%N) - began) / 1000000))
  expect "endless $fault: the outcome is unknown" [ "$status" = 502 ]
  expect "endless $fault: the caller is told at once" [ "$took" -lt 1000 ]
done
for n in $(seq 1 30); do
  call_gateway g1 GET /read/endless-body "many-$n" >/dev/null &
done
wait $(jobs -p) 2>/dev/null || true
status="$(call_gateway g1 GET /read/drip slow | cut -d' ' -f1)"
expect "an answer sent in small pieces ends at the route's timeout" [ "$status" = 504 ]
# The limit of all buffered answers together applies: thirty bodies of up to
# 1 MiB each were read at the same time.
expect "memory stays bounded" [ $(($(peak_kb) - before)) -lt 65536 ]
expect "the gateway is still running" kill -0 "${pid_of[g1]}"
