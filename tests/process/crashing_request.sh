#!/usr/bin/env bash
# One request crashes each endpoint that runs it and is sent crashed_after_restart through every
# host: at most two endpoints fall, and other requests are served.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 6
for round in 1 2 3 4 5 6; do
  for address in "${addresses[@]}"; do
    curl -sS --max-time 5 -H 'papayawheel-customer: roofers' \
      -H 'papayawheel-service: orders' "http://$address/work?crash=1" || true
    echo
  done
done
crashed=0
for n in 0 1 2 3 4 5; do
  kill -0 "${pid_of[e$n]}" 2>/dev/null || crashed=$((crashed + 1))
done
expect "at most two endpoints fell ($crashed)" [ "$crashed" -le 2 ]
expect "the quarantine is audited" grep -q "topic=quarantine.*started" "$work"/a1.log
load others 2000 --rate 100 --seed 3
expect "other requests are answered" \
  [ "$(field others answered)" -eq "$(field others sent)" ]

# Guards against a host that starts after the quarantine was told, knows nothing
# of it and sends the request crashed_after_restart.
kill -KILL "${pid_of[a1]}"
start_entry a1 dc1 "${addresses[0]}"
wait_for 20 is_ready "${addresses[0]}"
wait_for 20 shares_converged "${addresses[0]}"
# It uses shares of its own once the calls of its predecessor must have ended.
sleep 6
for round in 1 2 3 4 5 6; do
  curl -sS --max-time 5 -H 'papayawheel-customer: roofers' \
    -H 'papayawheel-service: orders' "http://${addresses[0]}/work?crash=1" || true
  echo
done
crashed_after_restart=0
for n in 0 1 2 3 4 5; do
  kill -0 "${pid_of[e$n]}" 2>/dev/null || crashed_after_restart=$((crashed_after_restart + 1))
done
expect "a host that starts knows of it ($crashed_after_restart fell)" [ "$crashed_after_restart" -eq "$crashed" ]
