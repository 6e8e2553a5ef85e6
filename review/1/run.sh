#!/usr/bin/env bash
# A gateway is started again. One second later the store cuts the watch that
# waits and accepts that an upstream has left: its entry is removed, and it never
# reported that it drains. It serves for drain-ms and 0.15 s more, and then ends.
# Consumers send 100 orders a second. With TROUBLE=0 the watch is not cut.
record="$(cd "$(dirname "$0")" && pwd)/record.txt"
source "$(dirname "$0")/../fleet.sh"
drain_ms=2000
stable_window_ms=3000
free_port
store="127.0.0.1:$port"
start store build-review/review-store "$store"
wait_for 5 is_up "$store" || cannot_run "the store does not start"
put_configuration 7
start_endpoint e1 8
start_endpoint e2 8
allocate_gateway_ports
write_settings g1 1
start_gateway g1 1
wait_for 10 is_ready g1 || cannot_run "the gateway is not ready"
sleep 1

# The platform starts the machine's process again, no longer for the first time.
sed -i 's/^first-start = .*/first-start = false/' "$work/g1.settings"
kill -KILL "${pid_of[g1]}"
sleep 0.3
start_gateway g1 1
started_ms=$(date +%s%3N)
wait_for 2 is_ready g1 || cannot_run "the gateway is not ready again"
while [ "$(date +%s%3N)" -lt $((started_ms + 980)) ]; do sleep 0.005; done
[ "$trouble" != 0 ] && curl -sS -X PUT "http://$store/standin/cut" >/dev/null
curl -sS -X DELETE "http://$store/standin/item?key=servers/e1" >/dev/null
removed_ms="$(sed -n 's/^at_ms=\([0-9]*\) event=removed key=servers\/e1 .*/\1/p' "$work/store.log")"
[ -n "$removed_ms" ] || cannot_run "the store did not accept the removal"
note "the process was started at 0 ms; the store accepted the removal of e1 at $((removed_ms - started_ms)) ms"

# The upstream serves on for drain-ms and a little longer, and then ends.
{
  while [ "$(date +%s%3N)" -lt $((removed_ms + drain_ms + 150)) ]; do sleep 0.005; done
  kill -KILL "${pid_of[e1]}"
} &

# Orders of consumers, from 2.5 s to 4 s after the start. Each prints when it
# was sent.
senders=()
while [ "$(date +%s%3N)" -lt $((started_ms + 2500)) ]; do sleep 0.005; done
for ((n = 0; n < 150; n++)); do
  {
    date +%s%3N >"$work/r$n.sent"
    call g1 POST "/order/$n?work=100" "r$n" >"$work/r$n.out"
  } &
  senders+=("$!")
  sleep 0.008
done
wait "${senders[@]}"
late=0 lost=0
for ((n = 0; n < 150; n++)); do
  sent=$(($(cat "$work/r$n.sent") - started_ms))
  reached="$(sed -n "s/^at_ms=\([0-9]*\) .*event=arrives request=r$n\$/\1/p" "$work/e1.log" | head -1)"
  read -r status stamp <"$work/r$n.out"
  echo "request r$n: sent at $sent ms, status=$status stamp=$stamp, reached e1 at ${reached:+$((reached - started_ms)) ms}" >>"$record"
  # Counted are requests that a machine in touch takes, and that reach e1 later
  # than drain-ms after the confirmation.
  [ -n "$reached" ] && [ "$sent" -ge "$stable_window_ms" ] &&
    [ "$reached" -gt $((removed_ms + drain_ms)) ] && late=$((late + 1)) &&
    [ "$status" != 200 ] && lost=$((lost + 1))
done
grep -h "event=endpoint_removed\|event=store_lost\|event=store_regained" "$work/g1.log" | tee -a "$record"
note "of the late orders, run and lost: $lost"
last="$(sed -n 's/^at_ms=\([0-9]*\) .*event=arrives .*/\1/p' "$work/e1.log" | tail -1)"
note "last request at e1: $((last - removed_ms)) ms after the confirmation (bound $drain_ms ms)"
[ "$(grep -c event=arrives "$work/e1.log")" -gt 0 ] || cannot_run "e1 got no request"
verdict "$((late > 0))" "requests that reached an upstream later than drain-ms after its leaving was confirmed, from a machine in touch: $late"
