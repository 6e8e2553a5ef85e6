# Functions that start gateways, upstreams and a store on loopback for the cases
# of this folder. Sourced by each run.sh, which sets $record, the path of its
# record.txt, before. The scripts go on in the repository's root.
# Every process that a script starts is killed when it exits.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
trouble="${TROUBLE:-1}"
work="$(mktemp -d)"
: >"$record"
started=()
declare -A pid_of=()

# note TEXT: writes a line to the record and to the output.
note() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$record"; }

stop_all() {
  local pid
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

# cannot_run TEXT: ends the script because the case could not be set up.
cannot_run() {
  note "CANNOT RUN: $*"
  exit 2
}

# verdict BROKEN TEXT: ends the script; BROKEN is 1 if the rule was broken.
verdict() {
  if [ "$1" -eq 1 ]; then note "BROKEN: $2"; else note "HELD: $2"; fi
  exit "$1"
}

# start NAME COMMAND ...: starts a program in the background. Its output goes to
# $work/NAME.log.
start() {
  local name="$1"
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  started+=("$!")
  pid_of[$name]=$!
  disown
}

wait_for() { # SECONDS COMMAND ...
  local tries=$(($1 * 20)) i
  shift
  for ((i = 0; i < tries; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  return 1
}

is_up() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }

# free_port: stores a port in $port that nothing on the test's addresses uses.
declare -A used_ports=()
free_port() {
  local ip
  while true; do
    port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000))
    [ -n "${used_ports[$port]:-}" ] && continue
    for ip in 127.0.0.1 127.0.0.11 127.0.0.12 127.0.0.13; do
      is_up "$ip:$port" && continue 2
    done
    used_ports[$port]=1
    return
  done
}

start_store() {
  free_port
  store="127.0.0.1:$port"
  start store build-review/papayawheel-standin-store --address "$store"
  wait_for 5 is_up "$store" || cannot_run "the store does not start"
}
put() { curl -sS --max-time 5 -X PUT --data-binary "$2" "http://$store/standin/item?key=$1" >/dev/null; }

# put_configuration VERSION: publishes the routes, with the limits of the
# example in the users' pages.
put_configuration() {
  put op/config '{"config-version":'"$1"',"routes":{"columns":["name","host","prefix","kind","timeout-ms","target-latency-ms","priority","split","max-attempts","service"],"rows":[["read","shop.example","/read/","safe",8000,600,2,null,2,"orders"],["order","shop.example","/order/","unsafe",8000,800,1,null,2,"orders"]]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[["orders","/health",300,"h1",false]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}'
}

# start_endpoint NAME SLOTS: starts an upstream and publishes its entry.
declare -A endpoint_address=()
start_endpoint() {
  free_port
  endpoint_address[$1]="127.0.0.1:$port"
  start "$1" build-review/review-endpoint "$1" "${endpoint_address[$1]}" "$2"
  wait_for 5 is_up "${endpoint_address[$1]}" || cannot_run "upstream $1 does not start"
  put "servers/$1" '{"address":"'"${endpoint_address[$1]}"'","born":'"$(date +%s%3N)"',"info":{"service":"orders","config-version":"v1","zone":"doi-ang","slots":'"$2"'},"status":{"state":"ready","seq":1,"warmup-left-ms":0}}'
}

# write_settings NAME NUMBER GRACE_S TTL_MAX_S: fills in the template of the
# deploy file, as the platform does for a machine of a small site.
allocate_gateway_ports() {
  local name
  for name in front ready directory control gossip; do
    free_port
    declare -g "${name}_port=$port"
  done
}
write_settings() {
  local ip="127.0.0.$((10 + $2))"
  sed -e "s/{{node-name}}/$1/; s/{{zone}}/doi-ang/" \
    -e "s/{{listen.front}}/$ip:$front_port/; s/{{listen.ready}}/$ip:$ready_port/" \
    -e "s/{{listen.directory}}/$ip:$directory_port/; s/{{listen.control}}/$ip:$control_port/" \
    -e "s/{{internal-ports.0}}/$gossip_port/" \
    -e "s/{{seeds}}/127.0.0.11:$control_port,127.0.0.12:$control_port/" \
    -e "s/{{platform.address}}/$store/" \
    -e "s/{{bounds.ttl_max_s}}/${4:-5}/; s/{{bounds.grace-s}}/${3:-6}/" \
    -e "s/{{bounds.retry-budget-ratio}}/0.2/; s/{{bounds.retry-budget-slack}}/75/" \
    -e "s/{{bounds.budget-window-s}}/10/" \
    -e 's/{{^bootstrap}}.*{{\/bootstrap}}/true/' \
    -e 's/{{bounds.probes-per-s}}.*/60/' \
    -e 's/{{limits.cpu-share}}.*/0.15/; s/{{limits.cores}}.*/1/' \
    -e 's/{{limits.link-mbps}}.*/750.0/' \
    -e 's/{{limits.memory-mb}}.*/195/; s/{{limits.max-fds}}.*/4096/' \
    platform/settings.template >"$work/$1.settings"
  ! grep -q '{{' "$work/$1.settings" || cannot_run "the template has a new field"
}

# start_gateway NAME NUMBER: starts a gateway with the run line of the deploy
# file; only the path of the settings file differs.
declare -A front=() ready=()
gateway_program="$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)"
start_gateway() {
  local ip="127.0.0.$((10 + $2))"
  front[$1]="$ip:$front_port"
  ready[$1]="$ip:$ready_port"
  start "$1" env -i PATH="$PATH" HOME="$HOME" LANG="${LANG:-C}" \
    "$gateway_program" --settings-file "$work/$1.settings"
}
is_ready() { [ "$(curl -s -o /dev/null --max-time 1 -w '%{http_code}' "http://${ready[$1]}/readiness")" = 200 ]; }

# call GATEWAY METHOD PATH ID [CURL ARGUMENT ...]: sends a request and prints
# "STATUS STAMP", where the status is 000 without an answer.
call() {
  local gateway="$1" method="$2" path="$3" id="$4"
  shift 4
  curl -s --max-time 15 -o /dev/null -D "$work/head.$id" -w '%{http_code} ' \
    -X "$method" -H "Host: shop.example" -H "Papayawheel-Request-Id: $id" \
    -H "Papayawheel-Deadline-Ms: 8000" -H "Expect:" "$@" \
    "http://${front[$gateway]}$path"
  tr -d '\r' <"$work/head.$id" 2>/dev/null | sed -n 's/^Papayawheel-Response-Stamp: //p' | grep . || echo "-"
}

# runs ID: how often upstreams ran a request.
runs() { cat "$work"/e*.log | grep -c "event=run request=$1\$"; }
