#!/usr/bin/env bash
# The platform is down, then has lost its documents, then lags. Hosts must go on
# serving, a restarted host must take the revision of its peers, no host may go
# back to an older revision, and few reads may be sent to the platform.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
start_small_fleet 2
first="$revision"
revision="$(publish contracts/roofers \
  "$(contract_json roofers 300 100 64 5 '"orders"')")"
for address in "${addresses[@]}"; do wait_for 10 has_revision "$address" "$revision"; done
request PUT "$platform/v1/fault" '{"mode":"down"}' >/dev/null
load outage 2000 --rate 100
expect "all calls are answered while the platform is down" \
  [ "$(field outage answered)" -eq "$(field outage sent)" ]
kill -KILL "${pid_of[a2]}"
sleep 0.5
start_entry a2 dc1 "${addresses[1]}"
wait_for 10 is_ready "${addresses[1]}"
expect "a host that starts during the outage has the newest revision" \
  has_revision "${addresses[1]}" "$revision"
request PUT "$platform/v1/fault" '{"mode":"none"}' >/dev/null
request PUT "$platform/v1/fault" '{"mode":"lost"}' >/dev/null
sleep 3
for address in "${addresses[@]}"; do
  expect "revision $revision (first was $first) stays in force at $address" \
    has_revision "$address" "$revision"
done
request PUT "$platform/v1/fault" '{"mode":"none"}' >/dev/null
request PUT "$platform/v1/fault" '{"mode":"lag","lag_ms":1000}' >/dev/null
revision="$(publish contracts/roofers \
  "$(contract_json roofers 350 100 64 5 '"orders"')")"
for address in "${addresses[@]}"; do wait_for 10 has_revision "$address" "$revision"; done
expect "a change arrives through a platform that lags" true
request PUT "$platform/v1/fault" '{"mode":"none"}' >/dev/null
revision="$(publish contracts/roofers '{"customer":"roofers"}')"
sleep 2
ctl "${addresses[0]}" status
expect "an invalid revision is logged with its reason" \
  grep -q "refused.*contracts/roofers.rate_per_second: missing" "$work"/*.log
expect "the previous revision stays in force" \
  has_revision "${addresses[0]}" "$((revision - 1))"
before=$(request GET "$platform/v1/calls" | sed 's/[^0-9]//g')
sleep 5
after=$(request GET "$platform/v1/calls" | sed 's/[^0-9]//g')
expect "at most two platform reads per data centre in 5 seconds ($((after - before)))" \
  [ $((after - before)) -le 6 ]
