#!/usr/bin/env bash
# Guards against a request that crashes one endpoint after the other because its
# caller retries it on every gateway: the crashes must stay within the limit for
# one request (BUDGET). Crashed endpoints are restarted after some seconds under
# new ids.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 3
for name in o3 o4 o5 o6; do start_route_endpoint "$name" orders; done
for name in c3 c4 c5 c6; do start_route_endpoint "$name" catalogue; done
declare -A id_of=() crashed_at=()
restarts=0

# restart_crashed_endpoints: starts the endpoints that crashed at least two
# seconds ago, under new ids.
restart_crashed_endpoints() {
  local name service
  for name in "${!endpoint_address[@]}"; do
    kill -0 "${pid_of[$name]}" 2>/dev/null && continue
    [ -n "${crashed_at[$name]:-}" ] || { crashed_at[$name]=$SECONDS; continue; }
    [ $((SECONDS - crashed_at[$name])) -ge 2 ] || continue
    unset "crashed_at[$name]"
    service=orders
    [ "${name:0:1}" = c ] && service=catalogue
    remove "servers/${id_of[$name]:-$name}"
    id_of[$name]="$name-$((++restarts))"
    start "$name" papayawheel-standin-route-endpoint --id "${id_of[$name]}" \
      --address "${endpoint_address[$name]}"
    wait_for 5 is_up "${endpoint_address[$name]}"
    put "servers/${id_of[$name]}" \
      "$(endpoint_entry "${id_of[$name]}" "${endpoint_address[$name]}" "$service" ready $((2000 + restarts)))"
  done
}

# count_crashes KIND: prints how many times endpoints crashed from requests of a
# kind, "safe" or "once". An endpoint logs each request before it crashes.
count_crashes() { cat "$work"/[oc]?.log | grep -c "^run=$1-" || true; }

# repeat_requests ROUND GATEWAY: sends both crashing requests and a harmless
# one.
repeat_requests() {
  call_gateway "$2" GET "/read/bad?crash=1" "safe-$1" >"$work/safe" || true
  call_gateway "$2" POST "/order/bad?crash=1" "once-$1" >"$work/once" || true
  call_gateway "$2" GET "/read/good$1" "good-$1" >>"$work/good"
}

for round in $(seq 1 18); do
  repeat_requests "$round" "g$((round % 3 + 1))"
  restart_crashed_endpoints
  sleep 0.5
done
echo "crashes: $(count_crashes safe) from a safe request, $(count_crashes once) from an unsafe one"
expect "a safe request crashed at most three endpoints" [ "$(count_crashes safe)" -le 3 ]
expect "an unsafe request crashed at most three endpoints" [ "$(count_crashes once)" -le 3 ]
kill -KILL "${pid_of[g2]}"
start_gateway g2 2
wait_for_gateways
before="$(count_crashes safe) $(count_crashes once)"
repeat_requests 19 g2
expect "a restarted gateway sends neither to an endpoint" \
  [ "$(count_crashes safe) $(count_crashes once)" = "$before" ]
expect "a quarantined request is refused as not run" grep -q '^503 quarantined' "$work/safe"
expect "other requests are answered" \
  [ "$(grep -c '^200 ' "$work/good")" -eq "$(wc -l <"$work/good")" ]
