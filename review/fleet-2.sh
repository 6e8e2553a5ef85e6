# Functions that start a small deployment on loopback for the scripts of the
# second review; sourced by them. All processes that start() started are ended
# when the script exits.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
gateway_program="$root/target/papayawheel-gateway"
standins="$root/build-review-2"
work="$(mktemp -d)"
started=()
declare -A pid_of=()

end_all() {
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap end_all EXIT

# cannot_run TEXT: ends the script as one that could not run.
cannot_run() {
  echo "cannot run: $1" | tee -a "$record"
  exit 2
}

# start NAME PROGRAM [ARGUMENT ...]: its output goes to $work/NAME.log.
start() {
  local name="$1"
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  started+=("$!")
}

# allocate_port: stores a free port, on which nothing listens, in $port. Ports
# are below the range of ephemeral ones and differ within a run.
declare -A allocated=()
allocate_port() {
  while true; do
    port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000))
    [ -z "${allocated[$port]:-}" ] || continue
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
    allocated[$port]=1
    return
  done
}

# wait_for SECONDS COMMAND ...: polls until the command succeeds.
wait_for() {
  local tries=$(($1 * 20))
  shift
  for ((i = 0; i < tries; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  return 1
}

is_up() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# put KEY VALUE: writes an item of the store, as the operator or an endpoint
# does.
put() {
  curl -sS --max-time 5 -X PUT --data-binary "$2" \
    "http://$store/standin/item?key=$1" >/dev/null
}

start_store() {
  allocate_port
  store="127.0.0.1:$port"
  start store "$standins/papayawheel-standin-store" --address "$store"
  wait_for 5 is_up "$port" || cannot_run "the store does not start"
}

# allocate_gateway_ports: allocates the ports that all gateways use, each on an
# IP address of its own (127.0.0.11, .12, ...).
allocate_gateway_ports() {
  allocate_port; front_port=$port
  allocate_port; ready_port=$port
  allocate_port; directory_port=$port
  allocate_port; control_port=$port
  allocate_port; gossip_port=$port
}

# write_settings NUMBER: fills in the template of deploy/system.toml as the
# platform does, for a machine of umlilo-gw-grown. $grace_s is the bound grace-s.
grace_s=6
write_settings() {
  local ip="127.0.0.$((10 + $1))"
  # All values are present, so sections for absent ones are dropped.
  sed -E \
    -e 's/\{\{\^[^}]*\}\}[^{]*\{\{\/[^}]*\}\}//g' \
    -e 's/\{\{#[^}]*\}\}([^{]*)\{\{\/[^}]*\}\}/\1/g' \
    -e "s/\{\{node-name\}\}/g$1/; s/\{\{zone\}\}/gt-soweto/" \
    -e "s/\{\{listen.front\}\}/$ip:$front_port/" \
    -e "s/\{\{listen.ready\}\}/$ip:$ready_port/" \
    -e "s/\{\{listen.directory\}\}/$ip:$directory_port/" \
    -e "s/\{\{listen.control\}\}/$ip:$control_port/" \
    -e "s/\{\{internal-ports.0\}\}/$gossip_port/" \
    -e "s/\{\{seeds\}\}/127.0.0.11:$control_port,127.0.0.12:$control_port/" \
    -e "s/\{\{platform.address\}\}/$store/" \
    -e "s/\{\{bounds.ttl_max_s\}\}/5/; s/\{\{bounds.grace-s\}\}/$grace_s/" \
    -e 's/\{\{bounds.retry-budget-ratio\}\}/0.2/' \
    -e 's/\{\{bounds.retry-budget-slack\}\}/218/' \
    -e 's/\{\{bounds.budget-window-s\}\}/10/' \
    -e 's/\{\{bounds.probes-per-s\}\}/42/' \
    -e 's/\{\{limits.cpu-share\}\}/0.5/; s/\{\{limits.cores\}\}/1/' \
    -e 's/\{\{limits.link-mbps\}\}/200/' \
    "$root/platform/settings.template" >"$work/g$1.new"
  ! grep -q '{{' "$work/g$1.new" || cannot_run "a field of the template is unknown"
  mv "$work/g$1.new" "$work/g$1.settings"
}

# start_gateway NUMBER: starts a gateway with the command of deploy/system.toml.
start_gateway() {
  start "g$1" "$gateway_program" --settings-file "$work/g$1.settings" \
    --memory-mb=512 --max-fds=8192 --cold-over=1 --cold-slack=0
}

# start_gateways COUNT: starts the gateways g1, g2, ...
start_gateways() {
  local n
  allocate_gateway_ports
  for ((n = 1; n <= $1; n++)); do
    write_settings "$n"
    start_gateway "$n"
  done
  for ((n = 1; n <= $1; n++)); do
    wait_for 10 is_ready "$n" || cannot_run "gateway g$n does not get ready"
  done
}

is_ready() {
  [ "$(curl -s -o /dev/null -w '%{http_code}' \
    "http://127.0.0.$((10 + $1)):$ready_port/readiness")" = 200 ]
}

now_ms() { date +%s%3N; }
