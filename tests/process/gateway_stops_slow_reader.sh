#!/usr/bin/env bash
# A caller that reads slowly must get its whole answer although the gateway does
# a graceful stop meanwhile, and requests that arrive during the stop must be
# answered.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 2
# More than the socket buffers of the system hold, so that the gateway still has
# to send a part of the answer when it stops.
bytes=60000000
printf 'answer-body-bytes = 100000000\nanswers-bytes = 200000000\n' >>"$work/g1.settings"
kill -TERM "${pid_of[g1]}"
wait_for 8 grep -q event=stopped "$work/g1.log"
: >"$work/g1.log"
start_gateway g1 1
wait_for 10 gateway_is_ready g1
curl -sS --limit-rate 12M --max-time 20 -o "$work/answer" -w '%{http_code}' \
  -H "Host: shop.example" -H "Papayawheel-Request-Id: slow" \
  "http://${front[g1]}/read/slow?bytes=$bytes" >"$work/status" 2>"$work/error" &
reader=$!
sleep 0.5
kill -TERM "${pid_of[g1]}"
for n in $(seq 1 25); do
  curl -s -o /dev/null -w '%{http_code}\n' -H "Host: shop.example" \
    -H "Papayawheel-Request-Id: late$n" "http://${front[g1]}/read/$n" \
    >>"$work/late" || true
  sleep 0.1
done
wait "$reader" || true
expect "the slow caller gets the status" [ "$(cat "$work/status")" = 200 ]
expect "the slow caller gets the whole answer" [ "$(stat -c %s "$work/answer")" -gt "$bytes" ]
# Requests are served while the directory still lists the gateway and refused
# later; none may be cut off.
expect "requests are served while the gateway is still listed" \
  [ "$(head -10 "$work/late" | grep -c '^200$')" -eq 10 ]
expect "every request during the stop is answered" \
  [ "$(grep -cE '^(200|503)$' "$work/late")" -eq 25 ]
wait_for 4 grep -q event=stopped "$work/g1.log"
