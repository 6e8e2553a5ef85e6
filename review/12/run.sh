#!/usr/bin/env bash
# Orders (unsafe) are sent through two gateways to seven upstreams. For 6.5 s
# one of them has the disruption "srv_grey": it fails 45 in 100 of the requests
# that it runs, while its health probe is good. It fails them with the status 503
# and without Papayawheel-Not-Executed, as it has run them. An order that is
# answered 503 must not have run.
record="$(cd "$(dirname "$0")" && pwd)/record.txt"
source "$(dirname "$0")/../fleet-3.sh"
start_upstream f1 orders 4 8 50 own-503
for n in 1 2 3 4 5 6; do start_upstream "s$n" orders 4 8 50; done
start_store unsafe 6000
start_gateways 2
sleep 3.5 # stable-window-ms without any disruption
start load "$standins/consumer" order POST /order/place 127.0.0.11,127.0.0.12 \
  "$front_port" 24 11 80 4000 100
sleep 2
if [ "$trouble" != 0 ]; then
  note "f1 turns grey"
  touch "$work/fault"
fi
sleep 6.5
rm -f "$work/fault"
note "f1 is well again"
wait "${pid_of[load]}"
stop_gateways
keep_logs load f1 s1 s2 s3 s4 s5 s6
grep -oE 'request=[^ ]* status=(503|429|408|421) ' "$work/load.log" |
  cut -d' ' -f1 | sort >"$work/refused"
grep -ho 'run_begins request=[^ ]*' "$work"/[fs]?.log | cut -d' ' -f2 |
  sort -u >"$work/ran"
comm -12 "$work/refused" "$work/ran" >"$work/false"
while read -r order; do
  note "order ${order#request=} was answered as not run, and ran:"
  grep -E "$order( |$)" "$record" | sed 's/^/    /' >"$work/lines"
  tee -a "$record" <"$work/lines"
done <"$work/false"
note "orders: $(grep -c ' sends ' "$work/load.log"), answered 503: $(wc -l <"$work/refused"), failed by f1: $(grep -c 'status=503' "$work/f1.log")"
[ "$(grep -c 'status=200' "$work/load.log")" -gt 100 ] || cannot_run "few orders are served"
verdict "$(wc -l <"$work/false")" "orders that were answered as not run and had run"
