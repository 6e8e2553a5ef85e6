#!/usr/bin/env bash
# Fleets that start beside each other never draw the same port, though the
# programs behind the ports have not started yet, or listen on an address that
# a look at 127.0.0.1 does not show.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
first=21000
# Both shells would try the same ports in the same order.
allocate_twenty() {
  bash -c 'source "$1"; propose_port() { port=$((next++)); }; next=$2
    for _ in {1..20}; do allocate_port; echo "$port"; done; sleep 2' \
    draw "$(dirname "$0")/../../misc/fleet.sh" "$first"
}
allocate_twenty >"$work/one" &
allocate_twenty >"$work/two" &
wait
cat "$work/one" "$work/two" | sort -n >"$work/drawn"
[ "$(wc -l <"$work/drawn")" -eq 40 ] || { echo "not all ports were drawn"; exit 1; }
twice="$(uniq -d "$work/drawn" | wc -l)"
[ "$twice" -eq 0 ] || { echo "$twice ports were drawn by both fleets"; exit 1; }
# What an ended fleet has claimed may be drawn again.
allocate_twenty >"$work/again"
cmp <(sort -n "$work/one" "$work/two" | head -20) <(sort -n "$work/again")
echo "ports are claimed: 40 drawn, none twice, drawn again after their end"
