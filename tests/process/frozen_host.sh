#!/usr/bin/env bash
# A host is suspended for some seconds under load and resumed. It must not rely
# on its old state before it has heard from other hosts, and no order may be
# executed twice.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 4
load frozen 14000 --rate 150 --order-percent 50 --deadline-ms 1000 >/dev/null &
caller=$!
sleep 3
kill -STOP "${pid_of[a1]}"
sleep 2
revision="$(publish contracts/roofers \
  "$(contract_json roofers 300 100 64 5 '"orders"')")"
for n in 1 2 3; do wait_for 10 has_revision "${addresses[n]}" "$revision"; done
sleep 3
kill -CONT "${pid_of[a1]}"
wait_for 5 grep -q event=woke_late "$work/a1.log"
wait_for 10 has_revision "${addresses[0]}" "$revision"
wait_for 10 is_ready "${addresses[0]}"
wait "$caller"
cat "$work/frozen.result"
expect "no wrong answer" [ "$(field frozen wrong)" -eq 0 ]
expect "no order was executed twice" [ "$(field frozen doubled)" -eq 0 ]
expect "most calls are answered" \
  [ "$(field frozen answered)" -ge $(($(field frozen sent) * 8 / 10)) ]
