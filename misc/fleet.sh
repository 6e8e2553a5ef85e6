# Functions that start a small fleet on loopback; sourced by other scripts.
# Every process that is started here ends with the script.
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

# Prints a port that nothing listens on, below the range from which the system
# takes ports by itself.
free_port() {
  local port
  while true; do
    port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000))
    grep -qw "$port" "$work/ports" 2>/dev/null && continue
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
    echo "$port" >>"$work/ports"
    echo "$port"
    return
  done
}

# start NAME PROGRAM [SETTING ...]: starts a program; its log is $work/NAME.log.
start() {
  local name="$1" program="$2"
  shift 2
  "$bin/$program" "$@" >>"$work/$name.log" 2>&1 &
  started+=("$!")
  pid_of[$name]=$!
  disown
}

# request METHOD ADDRESS/TARGET [BODY]: prints the answer's body.
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

is_settled() { ctl "$1" status | grep -q '"shares_settled": true'; }

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
