#!/usr/bin/env bash
# A request crashes each endpoint that executes it, and its caller retries it on
# every host. The quarantine must limit it to two crashes, and other requests
# must still be served.
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
expect "at most two endpoints crashed ($crashed)" [ "$crashed" -le 2 ]
expect "the quarantine is audited" grep -q "topic=quarantine.*started" "$work"/a1.log
load others 2000 --rate 100 --seed 3
expect "other requests are answered" \
  [ "$(field others answered)" -eq "$(field others sent)" ]

# Guards against a host that starts after the quarantine was broadcast, does not
# know of it and sends the request to one more endpoint.
kill -KILL "${pid_of[a1]}"
start_entry a1 dc1 "${addresses[0]}"
wait_for 20 is_ready "${addresses[0]}"
wait_for 20 shares_converged "${addresses[0]}"
# The host uses its shares only after all calls of its predecessor must have
# ended.
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
expect "a restarted host knows of the quarantine ($crashed_after_restart crashed)" [ "$crashed_after_restart" -eq "$crashed" ]
