#!/usr/bin/env bash
# An endpoint answers with a status that tells the caller that the request was
# not run, but does not state so itself. The request may have run, so callers
# must be told that the outcome is unknown. Guards against an order that is
# placed again by a caller that trusted such a refusal.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_misbehaving_fleet orders
endpoint_address[bad-read]="127.0.0.1:$(free_port)"
start bad-read papayawheel-standin-misbehaving --address "${endpoint_address[bad-read]}"
wait_for 5 is_up "${endpoint_address[bad-read]}"
put servers/bad-read \
  "$(endpoint_entry bad-read "${endpoint_address[bad-read]}" catalogue ready 1000)"
# After a failed answer the endpoint may be used less for a short time.
reads_are_served() { [ "$(call_gateway g1 GET /read/refuse-500-bare refuse-500-bare | cut -d' ' -f1)" = 500 ]; }
wait_for 5 reads_are_served
# failed_line_has ID TEXT: lines are written some time after the answer.
failed_line_has() { grep -q "event=request_failed request=$1 .*$2" "$work/g1.log"; }
metric() { curl -s "http://${control[g1]}/metrics" | awk -v n="papayawheel_$1" '$1 == n {print $2}'; }

replaced=0
# expect_unknown METHOD PATH ID: the endpoint's refusal does not reach the caller.
expect_unknown() {
  local answered status
  answered="$(call_gateway g1 "$1" "$2$3" "$3")"
  status="$(cut -d- -f2 <<<"$3")"
  expect "$1 $3: the caller gets 502 \"unconfirmed_refusal\"" \
    [ "$(cut -d: -f1 <<<"$answered")" = "502 unconfirmed_refusal" ]
  expect "$1 $3: one line tells which status was replaced, why, and that it was sent once" \
    wait_for 2 failed_line_has "$3" "error=unconfirmed_refusal.* endpoint_status=$status endpoints=bad\(-read\)\? "
  replaced=$((replaced + 1))
}
for status in 503 429 408; do
  for form in bare stamped backoff chunked trailer closing; do
    expect_unknown POST /order/ "refuse-$status-$form"
    # The pause that the endpoint asked for must be over.
    [ "$form" != backoff ] || sleep 0.4
  done
done
for status in 503 429 408; do
  expect_unknown GET /read/ "refuse-$status-stamped"
done
expect "each is counted" \
  [ "$(metric errors_unconfirmed_refusal_total)" -eq "$replaced" ]

upload_bytes=8388608
head -c "$upload_bytes" /dev/zero >"$work/upload"
for status in 503 429 408; do
  answered="$(curl -s --max-time 10 -X POST -H "Host: shop.example" -H "Expect:" \
    -H "Papayawheel-Request-Id: refuse-$status-reset" -H "Papayawheel-Deadline-Ms: 4000" \
    --data-binary "@$work/upload" -o "$work/body" -w '%{http_code}' \
    "http://${front[g1]}/order/refuse-$status-reset")"
  expect "$status before the end of the body: the caller gets 502" [ "$answered" = 502 ]
  sleep 1
done

for status in 503 429 408; do
  expect "$status with the statement is a refusal" \
    [ "$(call_gateway g1 POST "/order/refuse-$status-stated" "refuse-$status-stated" | cut -d: -f1)" = "503 overloaded" ]
done
expect "421 is a refusal without a statement" \
  [ "$(call_gateway g1 POST /order/refuse-421-bare refuse-421-bare | cut -d: -f1)" = "503 overloaded" ]
for status in 400 404 409 500 502 504; do
  answered="$(curl -s -D "$work/head" -o "$work/body" -w '%{http_code}' --max-time 10 -X POST \
    -H "Host: shop.example" -H "Papayawheel-Request-Id: refuse-$status-stamped" \
    -H "Papayawheel-Deadline-Ms: 4000" "http://${front[g1]}/order/refuse-$status-stamped")"
  expect "$status promises nothing and is passed on" [ "$answered $(cat "$work/body")" = "$status full" ]
  expect "$status keeps its stamp" grep -q '^Papayawheel-Response-Stamp: proof-bad' "$work/head"
done
expect "the gateway is still running" kill -0 "${pid_of[g1]}"
