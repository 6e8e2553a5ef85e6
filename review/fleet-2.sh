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

# start_gateways COUNT: starts the gateways g1, g2, ... on 127.0.0.11, .12, ...
# with the command and the template of deploy/system.toml, filled in like a
# machine of umlilo-gw-grown.
start_gateways() {
  local n ip
  allocate_port; front_port=$port
  allocate_port; ready_port=$port
  allocate_port; directory_port=$port
  allocate_port; control_port=$port
  allocate_port; gossip_port=$port
  for ((n = 1; n <= $1; n++)); do
    ip="127.0.0.$((10 + n))"
    cat >"$work/g$n.settings" <<SETTINGS
name = g$n
data-centre = gt-soweto
front-address = $ip:$front_port
ready-address = $ip:$ready_port
directory-address = $ip:$directory_port
control-address = $ip:$control_port
gossip-port = $gossip_port
seeds = 127.0.0.11:$control_port,127.0.0.12:$control_port
store = $store
directory-keep-ms = 5000
grace-ms = 6000
retry-ratio = 0.2
retry-slack = 218
retry-window-ms = 10000
first-start = true
probe-rate = 42
processor-share = 0.5
processor-speed = 1
link-mbps = 200.0
SETTINGS
    start "g$n" "$gateway_program" --settings-file "$work/g$n.settings" \
      --memory-mb=512 --max-fds=8192 --cold-over=1 --cold-slack=0
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
