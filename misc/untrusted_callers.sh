# Functions for tests in which untrusted callers attack one gateway. Sourced
# after misc/gateway_fleet.sh.

# start_limited_gateway MEMORY_MB MAX_FDS: starts a store, endpoints and the
# gateway g1 with the limits of a machine. Programs without these settings are
# started without them.
start_limited_gateway() {
  local name help
  allocate_gateway_ports
  start_store
  put op/config "$(configuration 7 catalogue)"
  for name in o1 o2; do start_route_endpoint "$name" orders; done
  for name in c1 c2; do start_route_endpoint "$name" catalogue; done
  gateways=(g1)
  write_gateway_settings g1 1
  help="$("$bin/papayawheel-gateway" --help)"
  grep -q -- '--memory-mb' <<<"$help" && echo "memory-mb = $1" >>"$work/g1.settings"
  grep -q -- '--max-fds' <<<"$help" && echo "max-fds = $2" >>"$work/g1.settings"
  start_gateway g1 1
  wait_for_gateways
}

# attack ADDRESS SETTING ...: lets untrusted callers act on an address of g1 and
# stores the largest number of its descriptors in $most_fds.
attack() {
  local address="$1" caller fds
  shift
  most_fds=0
  "$bin/papayawheel-standin-untrusted-caller" --address "$address" "$@" &
  caller=$!
  started+=("$caller")
  while kill -0 "$caller" 2>/dev/null; do
    fds="$(ls "/proc/${pid_of[g1]}/fd" 2>/dev/null | wc -l)"
    [ "$fds" -gt "$most_fds" ] && most_fds="$fds"
    sleep 0.05
  done
  wait "$caller"
}

# expect_survival MEMORY_KB FDS: checks that g1 lives, that its memory and its
# descriptors stayed within the bounds, and that it answers a request.
expect_survival() {
  expect "the gateway is still running" kill -0 "${pid_of[g1]}"
  local peak
  peak="$(awk '/VmHWM/ {print $2}' "/proc/${pid_of[g1]}/status")"
  expect "its memory ($peak kB) stays within $1 kB" [ "$peak" -le "$1" ]
  expect "its descriptors ($most_fds) stay within $2" [ "$most_fds" -le "$2" ]
  wait_for 8 gateway_answers after
  expect "an ordinary request is answered" gateway_answers after
}
gateway_answers() { [ "$(call_gateway g1 GET /read/ordinary "$1" | cut -d' ' -f1)" = 200 ]; }
