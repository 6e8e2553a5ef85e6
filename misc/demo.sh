#!/usr/bin/env bash
# Installs the dependencies, builds, and runs a small fleet on loopback under
# load. Changes the configuration and stops a host meanwhile, and prints the
# outcomes of all requests per customer.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/install.sh
misc/build.sh
source misc/fleet.sh

start_platform
hosts=(a1 a2 b1 b2)
centres=(brasov brasov sibiu sibiu)
addresses=()
for _ in "${hosts[@]}"; do addresses+=("127.0.0.1:$(free_port)"); done
entry_addresses="$(IFS=,; echo "${addresses[*]}")"

orders=() catalogue=() order_addresses=()
for n in 1 2 3 4; do
  address="127.0.0.1:$(free_port)"
  order_addresses+=("$address")
  start "order$n" papayawheel-standin-endpoint --address "$address" --slots 4
  address2="127.0.0.1:$(free_port)"
  catalogue+=("$(node_json "catalogue$n" "$address2" brasov live)")
  start "catalogue$n" papayawheel-standin-endpoint --address "$address2" \
    --slots 4 --service-us 2000
done

# fleet STATE_OF_ORDER_1 STATE_OF_HOST_B2: prints the fleet document.
fleet() {
  local host_list=() order_list=()
  for n in 1 2 3 4; do
    local state=live
    [ "$n" = 1 ] && state="$1"
    order_list+=("$(node_json "order$n" "${order_addresses[n - 1]}" sibiu "$state")")
  done
  for n in 0 1 2 3; do
    local state=live
    [ "$n" = 3 ] && state="$2"
    host_list+=("$(node_json "${hosts[n]}" "${addresses[n]}" "${centres[n]}" "$state")")
  done
  local IFS=,
  printf '{"services":[%s,%s],"hosts":[%s]}' \
    "$(service_json orders 4 "${order_list[@]}")" \
    "$(service_json catalogue 4 "${catalogue[@]}")" "${host_list[*]}"
}
contract() { contract_json "$@" '"orders","catalogue"'; }

publish fleet "$(fleet live live)" >/dev/null
publish contracts/roofers "$(contract roofers 400 100 64 2)" >/dev/null
revision="$(publish contracts/restorers "$(contract restorers 100 40 32 9)")"
for n in 0 1 2 3; do
  start_entry "${hosts[n]}" "${centres[n]}" "${addresses[n]}"
done
for address in "${addresses[@]}"; do
  wait_for 10 is_up "$address"
  wait_for 10 has_revision "$address" "$revision"
  wait_for 10 shares_converged "$address"
done
echo "fleet is up: 4 entry hosts in 2 data centres, 8 endpoints, revision $revision"
# A host that starts uses its shares only after all calls of a possible
# predecessor must have ended.
sleep 6

call() {
  "$bin/papayawheel-standin-caller" --entries "$entry_addresses" "$@" \
    --endpoints "$(IFS=,; echo "${order_addresses[*]}")" --duration-ms 12000 \
    >"$work/$2.result" || touch "$work/failed"
}
call --customer roofers --service orders --rate 200 --seed 1 --data-centre brasov &
call1=$!
call --customer restorers --service catalogue --rate 60 --seed 2 --order-percent 0 --data-centre sibiu &
call2=$!

sleep 3
began=$(date +%s%N)
revision="$(publish contracts/restorers "$(contract restorers 120 50 32 9)")"
for address in "${addresses[@]}"; do wait_for 10 has_revision "$address" "$revision"; done
echo "contract change: revision $revision in force on 4 hosts after $((($(date +%s%N) - began) / 1000000)) ms"
revision="$(publish fleet "$(fleet leaving live)")"
for address in "${addresses[@]}"; do wait_for 10 has_revision "$address" "$revision"; done
echo "endpoint order1 drains at revision $revision"
kill -TERM "${pid_of[b2]}"
echo "host b2 received SIGTERM"
wait "$call1" "$call2"
if kill -0 "${pid_of[b2]}" 2>/dev/null; then
  wait_for 10 grep -q event=stopped "$work/b2.log"
fi
grep event=stopped "$work/b2.log" | sed 's/.*event=/host b2: /'

printf '%-10s %6s %8s %6s %7s %7s %5s %7s %9s %9s\n' customer sent answered \
  wrong not_run unknown lost doubled add_p50ms add_p99ms
field() { sed "s/.*\"$2\":\"*\([a-z0-9.e-]*\).*/\1/" "$work/$1.result"; }
for customer in roofers restorers; do
  printf '%-10s %6s %8s %6s %7s %7s %5s %7s %9.2f %9.2f\n' "$customer" \
    "$(field $customer sent)" "$(field $customer answered)" \
    "$(field $customer wrong)" "$(field $customer not_run)" \
    "$(field $customer unknown)" "$(field $customer lost)" \
    "$(field $customer doubled)" "$(field $customer added_p50_ms)" \
    "$(field $customer added_p99_ms)"
  grep -q '"lost":0,' "$work/$customer.result" || touch "$work/failed"
  grep -o '"errors":{[^}]*}' "$work/$customer.result" || true
done
if [ -e "$work/failed" ]; then
  echo "demo FAILED"
  exit 1
fi
bash misc/demo_gateway.sh
echo "demo passed"
