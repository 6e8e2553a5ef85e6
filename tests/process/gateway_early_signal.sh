#!/usr/bin/env bash
# A signal to reload that arrives while the gateway still reads its settings does
# not end it.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 1
kill -KILL "${pid_of[g1]}"
mv "$work/g1.settings" "$work/written"
mkfifo "$work/g1.settings"
# It waits in the middle of its start until somebody writes the settings.
start_gateway g1 1
waits_for_settings() { grep -q 'g1.settings' <<<"$(tr '\0' ' ' <"/proc/${pid_of[g1]}/cmdline")"; }
wait_for 5 waits_for_settings
sleep 0.5
kill -HUP "${pid_of[g1]}"
# What it reads again afterwards is a file.
exec 9>"$work/g1.settings"
mv "$work/written" "$work/g1.settings"
cat "$work/g1.settings" >&9
exec 9>&-
sleep 0.2
expect "it lives" kill -0 "${pid_of[g1]}"
wait_for 10 gateway_is_ready g1
wait_for 5 grep -q event=reloaded "$work/g1.log"
expect "it serves" grep -q '^200 ' <<<"$(call_gateway g1 GET /read/1 a1)"
