#!/usr/bin/env bash
# A host is killed under load. No order may be executed twice and no answer may
# be wrong; only requests sent to that host may remain unanswered.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 4
load killed 9000 --rate 150 --order-percent 50 >/dev/null &
caller=$!
sleep 3
kill -KILL "${pid_of[a1]}"
wait "$caller"
cat "$work/killed.result"
expect "no wrong answer" [ "$(field killed wrong)" -eq 0 ]
expect "no order was executed twice" [ "$(field killed doubled)" -eq 0 ]
expect "most calls are answered" \
  [ "$(field killed answered)" -ge $(($(field killed sent) * 9 / 10)) ]
load after 2000 --rate 150 --seed 7
expect "later calls are all answered" \
  [ "$(field after answered)" -eq "$(field after sent)" ]
