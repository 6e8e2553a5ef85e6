#!/usr/bin/env bash
# Runs the benchmarks from which docs/CAPACITY.md derives costs per call, key,
# host, contract and endpoint, and writes their results to docs/data/. Needs a
# build; takes some minutes on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
source misc/fleet.sh
data=docs/data
mkdir -p "$data"
commit="$(git rev-parse --short HEAD)"
ticks="$(getconf CLK_TCK)"

# cpu_ms PID: prints the processor time of a process so far, in milliseconds.
cpu_ms() { awk -v t="$ticks" '{print ($14 + $15) * 1000 / t}' "/proc/$1/stat"; }
# rss_kb PID: prints the resident memory of a process, in KiB.
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
minus() { awk -v a="$1" -v b="$2" 'BEGIN {print a - b}'; }

reset_fleet() {
  for pid in "${started[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  started=()
}

# prepare_hosts COUNT: names hosts in four data centres, allocates their
# addresses and starts the platform.
prepare_hosts() {
  local count="$1" n
  hosts=() centres=() addresses=()
  for ((n = 0; n < count; n++)); do
    hosts+=("h$n") centres+=("dc$((n % 4))")
    addresses+=("127.0.0.1:$(free_port)")
  done
  entry_addresses="${addresses[0]}"
  start_platform
}

# start_all_hosts: starts the hosts and waits until they are ready, but not
# until their shares have converged.
start_all_hosts() {
  for ((n = 0; n < ${#hosts[@]}; n++)); do
    start_entry "${hosts[n]}" "${centres[n]}" "${addresses[n]}"
  done
  for address in "${addresses[@]}"; do wait_for 20 is_ready "$address"; done
}

host_list() {
  local list=() n
  for ((n = 0; n < ${#hosts[@]}; n++)); do
    list+=("$(node_json "${hosts[n]}" "${addresses[n]}" "${centres[n]}" live)")
  done
  local IFS=,
  echo "${list[*]}"
}

# Processor time and added latency by calls per second, for one host with one
# traffic thread.
measure_calls() {
  echo "commit,calls_per_s,cpu_us_per_call,cpu_ms_per_s,added_p50_ms,added_p99_ms,rss_kb" \
    >"$data/calls.csv"
  prepare_hosts 1
  local endpoints=() n
  endpoint_addresses=()
  for n in 0 1 2 3; do
    endpoint_addresses+=("127.0.0.1:$(free_port)")
    start "e$n" papayawheel-standin-endpoint \
      --address "${endpoint_addresses[n]}" --slots 64 --service-us 1000
    endpoints+=("$(node_json "e$n" "${endpoint_addresses[n]}" dc0 live)")
  done
  publish fleet "{\"services\":[$(service_json orders 64 "${endpoints[@]}")],\"hosts\":[$(host_list)]}" >/dev/null
  publish contracts/roofers "$(contract_json roofers 100000 10000 10000 5 '"orders"')" >/dev/null
  start h0 papayawheel-entry --name h0 --data-centre dc0 \
    --address "${addresses[0]}" --platform "$platform" --traffic-threads 1
  wait_for 20 shares_converged "${addresses[0]}"
  sleep 6
  for rate in 500 1000 2000 4000 6000; do
    local pid="${pid_of[h0]}" before after
    before=$(cpu_ms "$pid")
    load "rate$rate" 5000 --rate "$rate" >/dev/null
    after=$(cpu_ms "$pid")
    echo "$commit,$rate,$(awk -v c="$(minus "$after" "$before")" -v n="$(field "rate$rate" sent)" 'BEGIN {printf "%.1f,%.0f", c * 1000 / n, c / 5}'),$(field "rate$rate" added_p50_ms),$(field "rate$rate" added_p99_ms),$(rss_kb "$pid")" |
      tee -a "$data/calls.csv"
  done
  # Requests sent directly to an endpoint, to show the latency that the machine
  # itself adds.
  "$bin/papayawheel-standin-caller" --direct "${endpoint_addresses[0]}" \
    --rate 1000 --duration-ms 5000 >"$work/direct.result"
  echo "$commit,direct 1000,,,$(field direct added_p50_ms),$(field direct added_p99_ms)," |
    tee -a "$data/calls.csv"
  reset_fleet
}

# Memory of one host by the number of request keys that it holds, at 2000 orders
# per second.
measure_keys() {
  echo "commit,keys,rss_kb" >"$data/keys.csv"
  prepare_hosts 1
  local endpoints=() n keys=0
  endpoint_addresses=()
  for n in 0 1; do
    endpoint_addresses+=("127.0.0.1:$(free_port)")
    start "e$n" papayawheel-standin-endpoint \
      --address "${endpoint_addresses[n]}" --slots 64 --service-us 500
    endpoints+=("$(node_json "e$n" "${endpoint_addresses[n]}" dc0 live)")
  done
  publish fleet "{\"services\":[$(service_json orders 64 "${endpoints[@]}")],\"hosts\":[$(host_list)]}" >/dev/null
  publish contracts/roofers "$(contract_json roofers 100000 10000 10000 5 '"orders"')" >/dev/null
  start_entry h0 dc0 "${addresses[0]}"
  wait_for 20 shares_converged "${addresses[0]}"
  sleep 6
  for n in 1 2 3 4; do
    load "keys$n" 5000 --rate 2000 --order-percent 100 --seed "$n" >/dev/null
    keys=$((keys + $(field "keys$n" answered)))
    echo "$commit,$keys,$(rss_kb "${pid_of[h0]}")" | tee -a "$data/keys.csv"
  done
  reset_fleet
}

# Processor time, control traffic and memory of a host without calls, by the
# number of hosts.
measure_hosts() {
  echo "commit,hosts,cpu_percent,bytes_per_s,rss_kb" >"$data/hosts.csv"
  for count in 5 10 20 40 80; do
    prepare_hosts "$count"
    publish fleet "{\"services\":[],\"hosts\":[$(host_list)]}" >/dev/null
    start_all_hosts
    sleep 10
    local pid="${pid_of[h1]}" cpu0 cpu1 bytes0 bytes1
    cpu0=$(cpu_ms "$pid")
    bytes0=$(ctl "${addresses[1]}" status | awk '/control_bytes/ {gsub(",", ""); print $2}')
    sleep 15
    cpu1=$(cpu_ms "$pid")
    bytes1=$(ctl "${addresses[1]}" status | awk '/control_bytes/ {gsub(",", ""); print $2}')
    echo "$commit,$count,$(awk -v c="$(minus "$cpu1" "$cpu0")" 'BEGIN {printf "%.2f", c / 150}'),$(((bytes1 - bytes0) / 15)),$(rss_kb "$pid")" |
      tee -a "$data/hosts.csv"
    reset_fleet
  done
}

# Memory of a host, and duration and processor time of a configuration change,
# by the number of contracts and endpoints, for five hosts.
measure_configuration() {
  echo "commit,contracts,endpoints,rss_kb,change_ms,change_cpu_ms" \
    >"$data/configuration.csv"
  for pair in "100 100" "1000 100" "4000 100" "100 400" "100 1100"; do
    local contracts="${pair% *}" count="${pair#* }" n endpoints=()
    prepare_hosts 5
    for ((n = 0; n < count; n++)); do
      endpoints+=("$(node_json "e$n" "127.0.0.1:$((1000 + n))" dc0 live)")
    done
    publish fleet "{\"services\":[$(service_json orders 4 "${endpoints[@]}")],\"hosts\":[$(host_list)]}" >/dev/null
    for ((n = 0; n < contracts; n++)); do
      printf 'url = "http://%s/v1/values/contracts/c%s"\nrequest = PUT\ndata = "%s"\noutput = /dev/null\nnext\n' \
        "$platform" "$n" "$(contract_json "c$n" 100 20 20 1 '"orders"' | sed 's/"/\\"/g')"
    done >"$work/publish"
    sed -i "\$d" "$work/publish"
    curl -sS -K "$work/publish"
    start_all_hosts
    sleep 5
    local pid="${pid_of[h1]}" cpu0 cpu1 began revision
    cpu0=$(cpu_ms "$pid")
    began=$(date +%s%N)
    revision="$(publish contracts/c1 "$(contract_json c1 200 20 20 1 '"orders"')")"
    for address in "${addresses[@]}"; do wait_for 20 has_revision "$address" "$revision"; done
    local took=$((($(date +%s%N) - began) / 1000000))
    sleep 2
    cpu1=$(cpu_ms "$pid")
    echo "$commit,$contracts,$count,$(rss_kb "$pid"),$took,$(minus "$cpu1" "$cpu0")" |
      tee -a "$data/configuration.csv"
    reset_fleet
  done
}

for part in "${@:-calls keys hosts configuration}"; do
  for one in $part; do "measure_$one"; done
done
