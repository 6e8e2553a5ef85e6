#!/usr/bin/env bash
# Guards against a gateway that a reload signal (SIGHUP) ends because the signal
# arrives while the gateway still reads its settings at the start.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
start_gateways 1
kill -KILL "${pid_of[g1]}"
mv "$work/g1.settings" "$work/written"
mkfifo "$work/g1.settings"
# The gateway blocks on the pipe in the middle of its start until the settings
# are written to it.
start_gateway g1 1
waits_for_settings() { grep -q 'g1.settings' <<<"$(tr '\0' ' ' <"/proc/${pid_of[g1]}/cmdline")"; }
wait_for 5 waits_for_settings
sleep 0.5
kill -HUP "${pid_of[g1]}"
# The reload reads a regular file, which replaces the pipe.
exec 9>"$work/g1.settings"
mv "$work/written" "$work/g1.settings"
cat "$work/g1.settings" >&9
exec 9>&-
sleep 0.2
expect "the gateway is still running" kill -0 "${pid_of[g1]}"
wait_for 10 gateway_is_ready g1
wait_for 5 grep -q event=reloaded "$work/g1.log"
expect "the gateway serves" grep -q '^200 ' <<<"$(call_gateway g1 GET /read/1 a1)"
