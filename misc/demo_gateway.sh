# The second part of misc/demo.sh, run in a separate shell. Three gateways serve
# published routes under load while the configuration changes, an endpoint
# drains and a gateway stops.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"
source "$(dirname "$0")/gateway_fleet.sh"
start_gateways 3
directories="$(IFS=,; echo "${directory[*]}")"
echo "gateways are up: 3 hosts, 4 endpoints of 2 services, configuration 7"
"$bin/papayawheel-standin-route-caller" --directories "$directories" \
  --name demo --rate 100 --duration-ms 8000 --deadline-ms 1500 >"$work/calls" &
caller=$!
sleep 2
put op/config "$(configuration 8 orders)"
for name in "${gateways[@]}"; do wait_for 2 gateway_has_configuration "$name" 8; done
echo "configuration 8 is in force on 3 hosts"
put servers/o1 "$(endpoint_entry o1 "${endpoint_address[o1]}" orders draining 1000)"
echo "endpoint o1 drains"
kill -TERM "${pid_of[g3]}"
echo "gateway g3 received SIGTERM"
wait "$caller"
sent="$(wc -l <"$work/calls")"
served="$(grep -c 'status=200 right=1' "$work/calls")"
doubled="$(grep -h '^run=.*method=POST' "$work"/o[12].log | cut -d' ' -f1 | sort | uniq -d | wc -l)"
printf 'requests %s, served %s, orders executed twice %s\n' "$sent" "$served" "$doubled"
grep -v "status=200" "$work/calls" || true
[ "$served" -eq "$sent" ] && [ "$doubled" -eq 0 ] || { echo "demo FAILED"; exit 1; }
