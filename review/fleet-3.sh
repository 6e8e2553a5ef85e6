# Functions that start a small deployment on loopback for the scripts of the
# third review; sourced by them. All processes that start() started are ended
# when the script exits. Each script sets $record to its record.txt first.
set -u
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
gateway_program="$root/target/papayawheel-gateway"
standins="$root/build-review-3"
trouble="${TROUBLE:-1}"
work="$(mktemp -d)"
started=()
declare -A pid_of=()
: >"$record"

end_all() {
  local pid
  for pid in "${started[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap end_all EXIT

note() { echo "$(date +%s%3N) $1" | tee -a "$record"; }

# cannot_run TEXT: ends the script as one that could not run.
cannot_run() {
  note "cannot run: $1"
  exit 2
}

# verdict BROKEN TEXT: ends the script with the result.
verdict() {
  if [ "$1" -gt 0 ]; then
    note "BROKEN: $2: $1"
    exit 1
  fi
  note "held: $2: $1"
  exit 0
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
  local tries=$(($1 * 20)) i
  shift
  for ((i = 0; i < tries; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  return 1
}

is_up() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# start_upstream ID SERVICE SLOTS QUEUE WORK_MS [FAULT]: starts an upstream and
# writes its entry, which the store publishes from its start on. The fault is in
# force while the file $work/fault exists.
items=()
start_upstream() {
  allocate_port
  start "$1" "$standins/upstream" "$1" "$port" "$3" "$4" "$5" "${6:-none}" \
    "$work/fault"
  wait_for 5 is_up "$port" || cannot_run "upstream $1 does not start"
  printf '{"address":"127.0.0.1:%s","born":%s,"info":{"service":"%s","config-version":"v1","zone":"gt-soweto","slots":%s},"status":{"state":"ready","seq":1,"warmup-left-ms":0}}' \
    "$port" "$(date +%s%3N)" "$2" "$3" >"$work/entry.$1"
  items+=("servers/$1=$work/entry.$1")
}

# start_store KIND TIMEOUT_MS: starts the store with a configuration of one
# route, /order/ of that kind, and the entries of all upstreams.
start_store() {
  printf '{"config-version":7,"routes":{"columns":["name","host","prefix","kind","timeout-ms","target-latency-ms","priority","service","max-attempts","split"],"rows":[["order","shop.example","/order/","%s",%s,2000,1,"orders",2,null]]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[["orders","/health",1180,"h1",false]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' \
    "$1" "$2" >"$work/configuration"
  items+=("op/config=$work/configuration")
  allocate_port
  store="127.0.0.1:$port"
  start store "$standins/store" "$port" "${items[@]}"
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
# platform does, with the bounds of umlilo-gw-grown. $grace_s is grace-s.
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

# is_ready NUMBER: asks as the platform does.
is_ready() {
  local line=""
  exec 3<>"/dev/tcp/127.0.0.$((10 + $1))/$ready_port" || return 1
  printf 'GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n' >&3
  read -r -t 1 line <&3
  exec 3>&-
  [[ "$line" == "HTTP/1.1 200 "* ]]
}

# start_gateways COUNT: starts the gateways g1, g2, ... and waits until they are
# ready.
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

# stop_gateways: ends the gateways as planned, so that no request runs later.
stop_gateways() {
  local name
  for name in "${!pid_of[@]}"; do
    [[ "$name" == g[0-9]* ]] && kill -TERM "${pid_of[$name]}" 2>/dev/null
  done
  sleep 5
}

# keep_logs NAME ...: adds the lines of these processes to the record, in order,
# but for the ends of runs.
keep_logs() {
  local name
  for name in "$@"; do
    sed "/ run_ends /d; s/^at_ms=//; s/ / $name /" "$work/$name.log"
  done | sort -n -s -k1,1 >>"$record"
}
