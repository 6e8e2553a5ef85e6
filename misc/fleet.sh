# Functions that start a small fleet on loopback; sourced by other scripts.
# Every process that start() started is killed when the script exits.
bin="$(cd "$(dirname "${BASH_SOURCE[0]}")/../build" && pwd)"
work="$(mktemp -d)"
started=()
declare -A pid_of=()

stop_fleet() {
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_fleet EXIT

# free_port: prints a port that no other running script has claimed and that
# nothing on 127.0.0.1 listens on.
free_port() {
  local port
  allocate_port
  echo "$port"
}

# allocate_port: stores such a port in $port. A claim is a file with the process
# id of the shell that claimed the port, so that ports which a killed script
# claimed can be allocated again.
claims="${TMPDIR:-/tmp}/papayawheel-ports"
allocate_port() {
  mkdir -p "$claims"
  while true; do
    propose_port
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
    claim_port "$port" && return
  done
}

# propose_port: stores a random port in $port. It is below the range of
# ephemeral ports, which the system assigns by itself.
propose_port() { port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000)); }

# claim_port PORT: fails if a running script has claimed the port. A lock file
# ensures that only one script replaces a stale claim.
claim_port() {
  local owner
  {
    flock 9
    owner="$(cat "$claims/$1" 2>/dev/null || true)"
    if [ -n "$owner" ] && kill -0 "$owner" 2>/dev/null; then
      return 1
    fi
    echo "$$" >"$claims/$1"
  } 9>"$claims/lock"
}

# start NAME PROGRAM [SETTING ...]: starts a program in the background. Its
# output goes to $work/NAME.log.
start() {
  local name="$1" program="$2"
  shift 2
  "$bin/$program" "$@" >>"$work/$name.log" 2>&1 &
  started+=("$!")
  pid_of[$name]=$!
  disown
}

# request METHOD ADDRESS/TARGET [BODY]: prints the body of the answer.
request() {
  curl -sS --max-time 10 -X "$1" ${3+--data-binary "$3"} "http://$2"
}

# publish KEY JSON: publishes a document and prints its revision.
publish() {
  request PUT "$platform/v1/values/$1" "$2" | sed 's/.*"revision":\([0-9]*\).*/\1/'
}

ctl() {
  local address="$1"
  shift
  "$bin/papayawheel-ctl" --host "$address" "$@"
}

# wait_for SECONDS COMMAND ...: polls until the command succeeds.
wait_for() {
  local tries=$(($1 * 20))
  shift
  for ((i = 0; i < tries; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "timed out: $*" >&2
  return 1
}

is_up() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }

has_revision() {
  ctl "$1" status | grep -q "\"revision\": $2,"
}

is_ready() { ctl "$1" status | grep -q '"ready": true'; }

shares_converged() { ctl "$1" status | grep -q '"shares_settled": true'; }

start_platform() {
  platform="127.0.0.1:$(free_port)"
  start platform papayawheel-standin-platform --address "$platform"
  wait_for 5 is_up "$platform"
}

# start_entry NAME DATA_CENTRE ADDRESS
start_entry() {
  start "$1" papayawheel-entry --name "$1" --data-centre "$2" --address "$3" \
    --platform "$platform" --peers "${entry_addresses:-}"
}

# node_json NAME ADDRESS DATA_CENTRE STATE: prints one endpoint or host.
node_json() {
  printf '{"name":"%s","address":"%s","data_centre":"%s","state":"%s"}' "$@"
}

# contract_json CUSTOMER RATE BURST CONCURRENCY PRIORITY SERVICES: prints a
# contract. SERVICES is a list of quoted names, separated by commas.
contract_json() {
  printf '{"customer":"%s","rate_per_second":%s,"burst":%s,"concurrency":%s,"priority":%s,"services":[%s]}' "$@"
}

# service_json NAME SLOTS ENDPOINT...: prints a service with SLOTS slots for
# each endpoint.
service_json() {
  local name="$1" slots="$2" IFS=,
  shift 2
  printf '{"name":"%s","slots_per_endpoint":%s,"longest_deadline_ms":2000,"probes_per_second":1000,"endpoints":[%s]}' \
    "$name" "$slots" "$*"
}

# start_small_fleet COUNT: starts hosts a1, a2, b1 and c1 in three data centres
# and COUNT endpoints of the one service "orders", and publishes a contract of
# the customer "roofers". Sets addresses, endpoint_addresses and revision.
start_small_fleet() {
  local count="$1" n
  start_platform
  hosts=(a1 a2 b1 c1)
  centres=(dc1 dc1 dc2 dc3)
  addresses=()
  endpoint_addresses=()
  for _ in "${hosts[@]}"; do addresses+=("127.0.0.1:$(free_port)"); done
  entry_addresses="$(IFS=,; echo "${addresses[*]}")"
  for ((n = 0; n < count; n++)); do
    endpoint_addresses+=("127.0.0.1:$(free_port)")
    start "e$n" papayawheel-standin-endpoint \
      --address "${endpoint_addresses[n]}" --slots 4
  done
  publish fleet "$(small_fleet_json)" >/dev/null
  revision="$(publish contracts/roofers \
    "$(contract_json roofers 400 100 64 5 '"orders"')")"
  for ((n = 0; n < 4; n++)); do
    start_entry "${hosts[n]}" "${centres[n]}" "${addresses[n]}"
  done
  for address in "${addresses[@]}"; do
    wait_for 10 is_up "$address"
    wait_for 10 has_revision "$address" "$revision"
    wait_for 20 shares_converged "$address"
  done
  # Hosts use their shares only after all calls of a possible predecessor must
  # have ended.
  sleep 3
}

# start_misbehaving_small_fleet: starts a small fleet whose one endpoint is then
# replaced by one that violates HTTP. Sets replaced_endpoint to the address of
# the first one.
start_misbehaving_small_fleet() {
  start_small_fleet 1
  replaced_endpoint="${endpoint_addresses[0]}"
  endpoint_addresses=("127.0.0.1:$(free_port)")
  start bad papayawheel-standin-misbehaving --address "${endpoint_addresses[0]}"
  revision="$(publish fleet "$(small_fleet_json)")"
  for address in "${addresses[@]}"; do wait_for 10 has_revision "$address" "$revision"; done
}

# outcome TARGET: sends one call to the first host of the small fleet and prints
# the outcome that its answer reports. Its head and body are in $work/head and
# $work/body.
outcome() {
  curl -sS --max-time 5 -o "$work/body" -D "$work/head" \
    -H 'papayawheel-customer: roofers' -H 'papayawheel-service: orders' \
    -H 'papayawheel-deadline-ms: 500' "http://${addresses[0]}$1"
  sed -n 's/^papayawheel-outcome: \([a-z_]*\).*/\1/Ip' "$work/head"
}

# small_fleet_json [NAME]: prints the fleet document, in which the endpoint or
# host NAME is draining (state "leaving").
small_fleet_json() {
  local leaving="${1:-}" n state endpoint_list=() host_list=()
  for ((n = 0; n < ${#endpoint_addresses[@]}; n++)); do
    state=live
    [ "e$n" = "$leaving" ] && state=leaving
    endpoint_list+=("$(node_json "e$n" "${endpoint_addresses[n]}" dc1 "$state")")
  done
  for ((n = 0; n < ${#hosts[@]}; n++)); do
    state=live
    [ "${hosts[n]}" = "$leaving" ] && state=leaving
    host_list+=("$(node_json "${hosts[n]}" "${addresses[n]}" "${centres[n]}" "$state")")
  done
  local IFS=,
  printf '{"services":[%s],"hosts":[%s]}' \
    "$(service_json orders 4 "${endpoint_list[@]}")" "${host_list[*]}"
}

# load NAME MILLISECONDS [SETTING ...]: sends requests to the fleet, stores the
# counts of their outcomes in $work/NAME.result and prints them.
load() {
  local name="$1" duration="$2"
  shift 2
  "$bin/papayawheel-standin-caller" --entries "$entry_addresses" \
    --customer roofers --service orders --duration-ms "$duration" \
    --endpoints "$(IFS=,; echo "${endpoint_addresses[*]}")" "$@" \
    >"$work/$name.result" || true
  cat "$work/$name.result"
}

# field NAME FIELD: prints a number from the result of load().
field() { sed "s/.*\"$2\":\([0-9.e-]*\).*/\1/" "$work/$1.result"; }

# expect TEXT CONDITION...: fails the script unless the condition holds.
expect() {
  local text="$1"
  shift
  if ! "$@"; then
    echo "FAILED: $text"
    exit 1
  fi
  echo "ok: $text"
}
