#!/usr/bin/env bash
# While a request runs, the next one on its connection is refused. Guards against
# a caller that takes this refusal for the answer to the first request, and
# against a request that is sent to an endpoint before its body is whole.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 1
# Longer than the gateway waits for a head (header-timeout-ms).
work_ms=3600
for name in o1 o2; do
  request POST "${endpoint_address[$name]}/standin/work?ms=$work_ms" '' >/dev/null
done
# send_after NAME BYTES: sends an order and then BYTES, and stores all answers.
send_after() {
  local address="${front[g1]}"
  exec 3<>"/dev/tcp/${address%:*}/${address#*:}"
  printf 'POST /order/%s HTTP/1.1\r\nHost: shop.example\r\nPapayawheel-Request-Id: first-%s\r\nContent-Length: 2\r\n\r\nok' \
    "$1" "$1" >&3
  printf '%b' "$2" >&3
  timeout 6 cat <&3 >"$work/answers-$1" || true
}
next='POST /order/next HTTP/1.1\r\nHost: shop.example\r\nPapayawheel-Request-Id: next\r\n'
declare -A bytes=(
  [400]='no request\r\n\r\n'
  [431]="${next}X: $(head -c 9000 /dev/zero | tr '\0' x)\r\n\r\n"
  [413]="${next}Content-Length: 99999999\r\n\r\n"
  [408]="$next"
)
senders=()
for status in "${!bytes[@]}"; do
  send_after "$status" "${bytes[$status]}" &
  senders+=("$!")
done
send_after unfinished "${next}Content-Length: 9\r\n\r\npart" &
senders+=("$!")
wait "${senders[@]}"
for status in "${!bytes[@]}"; do
  statuses="$(grep -a -o '^HTTP/1.1 [0-9]*' "$work/answers-$status" | cut -d' ' -f2 | tr '\n' ' ')"
  expect "the first request is answered before the $status for the next one" \
    [ "$statuses" = "200 $status " ]
  expect "it gets its own answer" \
    grep -qai "^Papayawheel-Request-Id: first-$status" "$work/answers-$status"
done
expect "the request before an unfinished one is answered" \
  grep -qai '^Papayawheel-Request-Id: first-unfinished' "$work/answers-unfinished"
expect "each first request ran once" \
  [ "$(for name in o1 o2; do executed_requests "$name"; done | grep -o '"first-[a-z0-9]*":1' | wc -l)" -eq 5 ]
for name in o1 o2; do
  expect "$name never got a request that was not whole" \
    [ "$(executed_requests "$name" | grep -c '"next"')" -eq 0 ]
done
