#!/usr/bin/env bash
# Malformed datagrams, requests and documents must neither crash a gateway nor
# keep it from serving and from applying configurations.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 2
noise() { head -c "$1" /dev/urandom; }
nested() { head -c "$1" /dev/zero | tr '\0' '\221'; }
for size in 1 3 100 2000 60000; do
  noise "$size" >"/dev/udp/127.0.0.11/$gossip_port"
  nested "$size" >"/dev/udp/127.0.0.11/$gossip_port"
done
for port in "$front_port" "$ready_port" "$directory_port" "$control_port"; do
  for text in "GET / HTTP/9.9" "GET" $'\r\n\r\n\r\n' "POST / HTTP/1.1
Content-Length: -1" "POST / HTTP/1.1
Content-Length: 99999999999999999999" "POST / HTTP/1.1
Transfer-Encoding: chunked

fffffffffffffffff"; do
    (printf '%s\r\n\r\n' "$text" >"/dev/tcp/127.0.0.11/$port") 2>/dev/null || true
  done
  (noise 20000 >"/dev/tcp/127.0.0.11/$port") 2>/dev/null || true
done
for target in "/resolve?%zz&&==&name" "/view?after=99999999999999999999999" "/status?"; do
  for port in "$directory_port" "$control_port"; do
    curl -s -o /dev/null --max-time 2 "http://127.0.0.11:$port$target" || true
  done
done
for value in '' '[' '{"address":{}}' '{"info":[1,2],"status":7,"address":"x"}' \
  "$(printf '[%.0s' $(seq 1 3000))"; do
  put servers/odd "$value"
  put op/other "$value"
done
for name in g1 g2; do
  expect "$name is still running" kill -0 "${pid_of[$name]}"
  expect "$name serves" grep -q '^200 ' <<<"$(call_gateway "$name" GET /read/1 "after-$name")"
done
wait_for 5 gateway_has_peers g1 1
put op/config "$(configuration 9 orders)"
wait_for 3 gateway_has_configuration g1 9
expect "malformed datagrams are logged" \
  grep -q event=datagram_malformed "$work/g1.log"
