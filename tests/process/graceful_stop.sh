#!/usr/bin/env bash
# A host receives SIGTERM under load. Its graceful stop must cut off or lose no
# request.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 4
load stop 11000 --rate 200 --order-percent 50 >/dev/null &
caller=$!
sleep 2
kill -TERM "${pid_of[a1]}"
wait "$caller"
cat "$work/stop.result"
grep -q 'event=stopped.*cut_off=0' "$work/a1.log"
expect "no call is lost" [ "$(field stop lost)" -eq 0 ]
expect "no wrong answer" [ "$(field stop wrong)" -eq 0 ]
expect "no order was executed twice" [ "$(field stop doubled)" -eq 0 ]
expect "all calls are answered" \
  [ "$(field stop answered)" -eq "$(field stop sent)" ]
