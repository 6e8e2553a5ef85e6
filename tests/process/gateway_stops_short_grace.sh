#!/usr/bin/env bash
# A gateway with a short grace period is stopped under load. Every request that
# it has read must get a complete answer: from the endpoint, or a refusal that
# is true. None may be taken that cannot end within the grace period.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 2
for grace in 1000 2000; do
  kill -KILL "${pid_of[g1]}" 2>/dev/null || true
  sleep 0.2
  sed -i "/^grace-ms/d" "$work/g1.settings"
  echo "grace-ms = $grace" >>"$work/g1.settings"
  start_gateway g1 1
  wait_for 5 gateway_is_ready g1
  for name in o1 o2; do curl -s "http://${endpoint_address[$name]}/standin/work?ms=300" >/dev/null; done
  rm -f "$work"/cut.* "$work"/status.*
  # send N: sends one request after the other to g1 until it is gone. Curl ends
  # with 7 if the connection is refused. Requests that end without an answer are
  # stored: they were cut off if the gateway's log shows that it has read them.
  send() {
    local status result n=0
    while true; do
      n=$((n + 1))
      result=0
      status="$(curl -sS -o /dev/null -w '%{http_code}' --max-time 10 -X POST \
        -H "Host: shop.example" -H "Papayawheel-Request-Id: s$grace-$1-$n" \
        -H "Papayawheel-Deadline-Ms: 1200" "http://${front[g1]}/order/$1" 2>/dev/null)" || result=$?
      [ "$result" -eq 7 ] && return
      [ "$result" -ne 0 ] && echo "request=s$grace-$1-$n " >>"$work/cut.$1"
      echo "$status" >>"$work/status.$1"
      [ "$status" = 503 ] && sleep 0.02
    done
  }
  senders=()
  for n in 1 2 3 4; do
    send "$n" &
    senders+=($!)
  done
  sleep 0.8
  kill -TERM "${pid_of[g1]}"
  for sender in "${senders[@]}"; do wait "$sender"; done
  cat "$work"/cut.* >"$work/unanswered" 2>/dev/null || true
  cut_off() { [ -s "$work/unanswered" ] && grep -F -f "$work/unanswered" "$work/g1.log"; }
  none_cut_off() { ! cut_off; }
  expect "grace $grace ms: no request is cut off" none_cut_off
  expect "grace $grace ms: requests were served" grep -q 200 "$work/status.1"
  expect "grace $grace ms: no answer is in doubt" bash -c "! cat $work/status.* | grep -qv -e 200 -e 503 -e 000"
done
