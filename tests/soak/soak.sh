#!/usr/bin/env bash
# soak.sh SEED [STEPS]: runs the real programs under load and injects random
# faults, several of which may be active at once. Then removes all faults and
# checks what callers and endpoints saw, and that the fleet has recovered.
# Prints the faults in order; the same seed gives the same faults.
set -euo pipefail
seed="$1" steps="${2:-24}"
source "$(dirname "$0")/../../misc/fleet.sh"
source "$(dirname "$0")/../../misc/gateway_fleet.sh"
RANDOM="$seed"
# If the run fails for any reason, copies the logs to a subfolder of $SOAK_KEEP.
end_soak() {
  local result=$?
  if [ "$result" -ne 0 ] && [ -n "${SOAK_KEEP:-}" ]; then
    mkdir -p "$SOAK_KEEP/$seed"
    cp "$work"/*.log "$work"/*.calls "$SOAK_KEEP/$seed/" || true
  fi
  stop_fleet
}
trap end_soak EXIT
gateway_count=5
deadline_ms=1500
# draw COUNT: stores a random number from 0 to COUNT - 1 in $drawn. A subshell
# would not advance the sequence of the seed.
draw() { drawn=$((RANDOM % $1)); }
now_ms() { date +%s%3N; }

# --- the fleet: each gateway reaches the store, and the gateways reach each
# endpoint, over a separate link (a proxy that can inject faults)
allocate_gateway_ports
start_store
version=7
put op/config "$(configuration "$version" catalogue)"
declare -A service_of=([o1]=orders [o2]=orders [o3]=orders [c1]=catalogue [c2]=catalogue)
declare -A created_at=()
endpoints=(o1 o2 o3 c1 c2)
publish_endpoint() { # NAME STATE
  put "servers/$1" "$(endpoint_entry "$1" "${link_address[$1]}" "${service_of[$1]}" "$2" "${created_at[$1]}")"
}
start_endpoint() { # NAME
  start "$1" papayawheel-standin-route-endpoint --id "$1" \
    --address "${endpoint_address[$1]}" --slots 8
  wait_for 5 is_up "${endpoint_address[$1]}"
  created_at[$1]=$((++start_count * 1000))
  publish_endpoint "$1" ready
}
start_count=0
for name in "${endpoints[@]}"; do
  endpoint_address[$name]="127.0.0.1:$(free_port)"
  start_link "$name" "${endpoint_address[$name]}"
  start_endpoint "$name"
done
gateways=()
for ((n = 1; n <= gateway_count; n++)); do
  gateways+=("g$n")
  start_link "store$n" "$store"
  write_gateway_settings "g$n" "$n" "${link_address[store$n]}"
  start_gateway "g$n" "$n"
done
wait_for_gateways
directories="$(IFS=,; echo "${directory[*]}")"

# --- the load
call() { # NAME MILLISECONDS SEED
  "$bin/papayawheel-standin-route-caller" --directories "$directories" \
    --name "$1" --rate 60 --duration-ms "$2" --deadline-ms "$deadline_ms" \
    --seed "$3" >"$work/$1.calls"
}
call early $((steps * 700 + 4000)) "$((seed % 1000 + 1))" &
caller=$!

# --- the faults
declare -A stopped=() leaving=()
fault() {
  draw "$gateway_count"
  local number=$((drawn + 1))
  local gateway="g$number"
  draw "${#endpoints[@]}"
  local endpoint="${endpoints[drawn]}"
  draw 16
  case "$drawn" in
    0) echo "link of $endpoint delays"; set_link_fault "$endpoint" '{"delay_ms":200}' ;;
    1) echo "link of $endpoint passes no data to the endpoint"; set_link_fault "$endpoint" '{"silent_there":true}' ;;
    2) echo "link of $endpoint passes no data from the endpoint"; set_link_fault "$endpoint" '{"silent_back":true}' ;;
    3) echo "link of $endpoint refuses connections and resets open ones"; set_link_fault "$endpoint" '{"refuses":true}'; reset_link "$endpoint" ;;
    4) echo "link of $endpoint resets its open connections"; reset_link "$endpoint" ;;
    5) echo "link of $endpoint has no faults"; set_link_fault "$endpoint" '{}' ;;
    6) echo "link from $gateway to the store passes no data"
      set_link_fault "store$number" '{"silent_there":true,"silent_back":true}' ;;
    7) echo "link from $gateway to the store has no faults"; set_link_fault "store$number" '{}' ;;
    8) echo "$gateway is suspended"; pause "$gateway" ;;
    9) echo "$endpoint is suspended"; pause "$endpoint" ;;
    10) resume_all ;;
    11) restart_gateway "$gateway" "$number" KILL ;;
    12) restart_gateway "$gateway" "$number" TERM ;;
    13) echo "$gateway reloads"; kill -HUP "${pid_of[$gateway]}" ;;
    14) change_configuration ;;
    15) restart_endpoint "$endpoint" ;;
  esac
}
pause() { kill -STOP "${pid_of[$1]}"; stopped[$1]=1; }
resume_all() {
  echo "all suspended processes are resumed"
  for name in "${!stopped[@]}"; do
    kill -CONT "${pid_of[$name]}"
  done
  stopped=()
}
# restart_gateway waits for the start to be logged, as a signal that arrives
# before main() can block it would end the program.
starts_of() { grep -c event=started "$work/$1.log"; }
has_started() { [ "$(starts_of "$1")" -gt "$2" ]; }
has_ended() { ! kill -0 "$1" 2>/dev/null; }
restart_gateway() { # NAME NUMBER SIGNAL
  echo "$1 receives SIG$3 and is restarted"
  kill -CONT "${pid_of[$1]}"
  unset "stopped[$1]"
  kill "-$3" "${pid_of[$1]}"
  wait_for 20 has_ended "${pid_of[$1]}"
  local starts
  starts="$(starts_of "$1")"
  start_gateway "$1" "$2"
  wait_for 5 has_started "$1" "$starts"
}
restart_endpoint() { # NAME
  echo "$1 is killed and restarted"
  kill -KILL "${pid_of[$1]}"
  unset "stopped[$1]"
  wait_for 5 has_ended "${pid_of[$1]}"
  start_endpoint "$1"
}
change_configuration() {
  version=$((version + 1))
  draw 2
  local reads=catalogue
  [ "$drawn" = 0 ] && reads=orders
  echo "configuration $version: reads go to $reads"
  put op/config "$(configuration "$version" "$reads")"
}
for ((step = 1; step <= steps; step++)); do
  printf 'step %s: ' "$step"
  fault
  draw 7
  sleep "0.$drawn"
done

# --- all faults end
resume_all
for name in "${!link_control[@]}"; do set_link_fault "$name" '{}'; done
for name in "${endpoints[@]}"; do publish_endpoint "$name" ready; done
change_configuration
for name in "${gateways[@]}"; do
  wait_for 10 gateway_is_ready "$name"
  wait_for 3 gateway_has_configuration "$name" "$version"
done
sleep 3
call late 3000 7 &
late=$!
sleep 0.5
publish_endpoint o1 draining
sleep 2
drained_at=$(now_ms)
wait "$late" "$caller"

# --- the checks
cat "$work"/*.calls >"$work/calls"
grep -h '^run=' "$work"/[oc][0-9].log >"$work/runs" || true
echo "$(wc -l <"$work/calls") requests, $(wc -l <"$work/runs") executions, by status:" \
  "$(sed 's/.*status=\([0-9]*\).*/\1/' "$work/calls" | sort | uniq -c | tr -s ' \n' ' ')"
doubled="$(awk '$2 == "method=POST" {print $1}' "$work/runs" | sort | uniq -d)"
executed="$(cut -d' ' -f1 "$work/runs" | cut -d= -f2 | sort -u)"
refused="$(awk '$3 ~ /^status=(408|421|429|503)$/ {print substr($1, 9)}' \
  "$work/calls" | sort)"
refused_but_executed="$(comm -12 <(echo "$executed") <(echo "$refused") | grep . || true)"
wrong="$(grep 'right=0' "$work/calls" || true)"
# Only requests sent after the end of all faults are checked, as a suspended
# gateway answers only once it is resumed.
late="$(awk -v most=$((deadline_ms + 500)) '/^request=late/ {
  split($5, took, "="); if (took[2] > most) print }' "$work/calls")"
served="$(grep -c '^request=late.*status=200' "$work/calls" || true)"
all="$(grep -c '^request=late' "$work/calls")"
after="$(awk -v from="$drained_at" '$3 == "endpoint=o1" {
  split($4, at, "="); if (at[2] > from) print }' "$work/runs")"
check() { # TEXT VIOLATIONS
  if [ -n "$2" ]; then
    echo "FAILED: $1"
    echo "$2" | head -5
    failed=1
  else
    echo "ok: $1"
  fi
}
failed=0
check "no order was executed twice" "$doubled"
check "no request reported as not run was executed" "$refused_but_executed"
check "no answer was wrong" "$wrong"
check "every request was answered in time after the faults ended" "$late"
check "a draining endpoint got no new requests" "$after"
check "requests were served after the faults ended" \
  "$([ "$((served * 100))" -ge "$((all * 97))" ] || echo "$served of $all")"
[ "$failed" = 0 ] || exit 1
echo "seed $seed passed"
