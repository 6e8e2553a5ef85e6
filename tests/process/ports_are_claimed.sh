#!/usr/bin/env bash
# Guards against two test scripts that run at the same time and allocate the
# same port. Whether a port is in use is not enough to know: the program may not
# have started yet, or it may listen on another address than 127.0.0.1.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"
first=21000
# allocate_twenty: prints twenty ports that a separate shell allocates. All
# these shells propose the same ports in the same order.
allocate_twenty() {
  bash -c 'source "$1"; propose_port() { port=$((next++)); }; next=$2
    for _ in {1..20}; do allocate_port; echo "$port"; done; sleep 2' \
    draw "$(dirname "$0")/../../misc/fleet.sh" "$first"
}
allocate_twenty >"$work/one" &
allocate_twenty >"$work/two" &
wait
cat "$work/one" "$work/two" | sort -n >"$work/drawn"
[ "$(wc -l <"$work/drawn")" -eq 40 ] || { echo "not all ports were allocated"; exit 1; }
twice="$(uniq -d "$work/drawn" | wc -l)"
[ "$twice" -eq 0 ] || { echo "$twice ports were allocated by both scripts"; exit 1; }
# Ports that an ended script has claimed may be allocated again.
allocate_twenty >"$work/again"
cmp <(sort -n "$work/one" "$work/two" | head -20) <(sort -n "$work/again")
echo "ports are claimed: 40 allocated, none twice, allocated again after the scripts ended"
