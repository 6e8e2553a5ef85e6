# Functions that start gateways, endpoints and a store on loopback. The
# endpoints and the store follow the platform's documentation. Sourced after
# misc/fleet.sh.

# endpoint_entry ID ADDRESS SERVICE STATE BORN: prints the entry of an endpoint
# in the store. BORN is greater for a later process at the same address.
endpoint_entry() {
  printf '{"address":"%s","born":%s,"info":{"service":"%s","config-version":"v1","zone":"brasov","slots":4},"status":{"state":"%s","seq":1,"warmup-left-ms":0}}' \
    "$2" "$5" "$3" "$4"
}

# put KEY VALUE, remove KEY: write and delete an entry of the store.
# set_store_fault FAULT: makes the store fail in that way, or in none ("none").
put() { request PUT "$store/standin/item?key=$1" "$2" >/dev/null; }
remove() { request DELETE "$store/standin/item?key=$1" >/dev/null; }
set_store_fault() { request PUT "$store/standin/fault" "$1" >/dev/null; }

# configuration VERSION SERVICE: prints a configuration whose route for reads
# leads to SERVICE.
configuration() {
  printf '{"config-version":%s,"routes":{"columns":["name","host","prefix","kind","timeout-ms","target-latency-ms","priority","service","max-attempts","split"],"rows":[["read","shop.example","/read/","safe",2000,500,2,"%s",2,null],["order","shop.example","/order/","unsafe",4000,500,1,"orders",2,null]]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[["orders","/health",283,"h1",false],["catalogue","/health",283,"h1",false]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' \
    "$1" "$2"
}

# start_store: starts the store and stores its address in $store.
start_store() {
  store="127.0.0.1:$(free_port)"
  start store papayawheel-standin-store --address "$store"
  wait_for 5 is_up "$store"
}

# start_route_endpoint NAME SERVICE: starts an endpoint and publishes its entry.
declare -A endpoint_address=()
start_route_endpoint() {
  endpoint_address[$1]="127.0.0.1:$(free_port)"
  start "$1" papayawheel-standin-route-endpoint --id "$1" \
    --address "${endpoint_address[$1]}"
  wait_for 5 is_up "${endpoint_address[$1]}"
  put "servers/$1" "$(endpoint_entry "$1" "${endpoint_address[$1]}" "$2" ready 1000)"
}

# start_link NAME TARGET: starts a proxy (a link) that forwards connections to
# the address TARGET and can inject faults.
# set_link_fault NAME JSON: sets the faults of a link; {} removes them.
# reset_link NAME: resets the open connections of a link.
declare -A link_address=() link_control=()
start_link() {
  link_address[$1]="127.0.0.1:$(free_port)"
  link_control[$1]="127.0.0.1:$(free_port)"
  start "link-$1" papayawheel-standin-faulty-link --target "$2" \
    --address "${link_address[$1]}" --control "${link_control[$1]}"
  wait_for 5 is_up "${link_control[$1]}"
}
set_link_fault() { request PUT "${link_control[$1]}/fault" "$2" >/dev/null; }
reset_link() { request PUT "${link_control[$1]}/reset" '{}' >/dev/null; }

# allocate_gateway_ports: allocates the ports that all gateways use, each
# gateway on an IP address of its own.
allocate_gateway_ports() {
  front_port=$(free_port) ready_port=$(free_port) directory_port=$(free_port)
  control_port=$(free_port) gossip_port=$(free_port)
}

# wait_for_gateways: waits until all in $gateways are ready and list each other
# as members.
wait_for_gateways() {
  local name
  for name in "${gateways[@]}"; do
    wait_for 10 gateway_is_ready "$name"
    wait_for 10 gateway_has_peers "$name" $((${#gateways[@]} - 1))
  done
}

# start_gateway NAME NUMBER: starts a gateway on the IP address 127.0.0.(10 +
# NUMBER) with the settings file that write_gateway_settings wrote.
declare -A front=() control=() ready=() directory=()
start_gateway() {
  local ip="127.0.0.$((10 + $2))"
  front[$1]="$ip:$front_port"
  ready[$1]="$ip:$ready_port"
  directory[$1]="$ip:$directory_port"
  control[$1]="$ip:$control_port"
  start "$1" papayawheel-gateway --settings-file "$work/$1.settings"
}

# write_gateway_settings NAME NUMBER [STORE]: writes the settings file of a
# gateway. STORE is the address at which it reaches the store.
write_gateway_settings() {
  local ip="127.0.0.$((10 + $2))"
  cat >"$work/$1.settings" <<SETTINGS
name = $1
data-centre = brasov
front-address = $ip:$front_port
ready-address = $ip:$ready_port
directory-address = $ip:$directory_port
control-address = $ip:$control_port
gossip-port = $gossip_port
seeds = 127.0.0.11:$control_port,127.0.0.12:$control_port
store = ${3:-$store}
SETTINGS
}

# call_gateway NAME METHOD PATH ID: sends a request with the request id ID and
# prints the status and the first line of the body.
call_gateway() {
  curl -sS --max-time 10 -X "$2" -o - -w '\n%{http_code}' -H "Host: shop.example" \
    -H "Papayawheel-Request-Id: $4" -H "Papayawheel-Deadline-Ms: 4000" \
    "http://${front[$1]}$3" | awk '{line[NR]=$0} END {print line[NR], line[1]}'
}

gateway_is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://${ready[$1]}/readiness")" = 200 ]; }
gateway_has_configuration() { curl -s "http://${control[$1]}/status" | grep -q "\"configuration\": $2,"; }
gateway_has_peers() { [ "$(curl -s "http://${control[$1]}/status" | grep -c '"front"')" -eq "$2" ]; }

# executed_requests NAME: prints the requests that an endpoint executed, as
# JSON.
executed_requests() { curl -s "http://${endpoint_address[$1]}/standin/runs"; }

# start_gateways COUNT: starts a store, four endpoints of two services and the
# gateways g1, g2, ...
start_gateways() {
  allocate_gateway_ports
  start_store
  put op/config "$(configuration 7 catalogue)"
  start_route_endpoint o1 orders
  start_route_endpoint o2 orders
  start_route_endpoint c1 catalogue
  start_route_endpoint c2 catalogue
  gateways=()
  for ((n = 1; n <= $1; n++)); do
    gateways+=("g$n")
    write_gateway_settings "g$n" "$n"
    start_gateway "g$n" "$n"
  done
  wait_for_gateways
}

# start_misbehaving_fleet SERVICE: starts a store, an endpoint "bad" of SERVICE
# that violates HTTP, and the gateway g1.
start_misbehaving_fleet() {
  allocate_gateway_ports
  start_store
  put op/config "$(configuration 7 catalogue)"
  endpoint_address[bad]="127.0.0.1:$(free_port)"
  start bad papayawheel-standin-misbehaving --address "${endpoint_address[bad]}"
  wait_for 5 is_up "${endpoint_address[bad]}"
  put servers/bad "$(endpoint_entry bad "${endpoint_address[bad]}" "$1" ready 1000)"
  gateways=(g1)
  write_gateway_settings g1 1
  start_gateway g1 1
  wait_for 10 gateway_is_ready g1
}
