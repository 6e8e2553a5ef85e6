#!/usr/bin/env bash
# Invalid settings, headers, bodies and operators' requests must be refused with
# an error message that names the fault.
set -euo pipefail
source "$(dirname "$0")/../../misc/fleet.sh"

# expect_exit TEXT CODE ARGUMENT...: runs papayawheel-entry and checks its exit
# code and that its output contains the text.
expect_exit() {
  local text="$1" code="$2" got=0
  shift 2
  "$bin/papayawheel-entry" "$@" >"$work/out" 2>&1 || got=$?
  expect "exit code $code for: $*" [ "$got" -eq "$code" ]
  expect "the output contains: $text" grep -qF -- "$text" "$work/out"
}
good=(--name h1 --data-centre dc1 --address 127.0.0.1:1 --platform 127.0.0.1:1)
expect_exit 'Usage: papayawheel-entry' 0 --help
expect_exit 'papayawheel-entry 0.1.0' 0 --version
expect_exit 'setting "name" must be given' 2
expect_exit "unrecognised option '--nmae'" 2 --nmae h1
expect_exit 'setting "address": value "localhost:80" must be an IP number and a port' \
  2 --name h1 --data-centre dc1 --platform 127.0.0.1:1 --address localhost:80
expect_exit "option '--address' cannot be specified more than once" \
  2 "${good[@]}" --address 127.0.0.1:2
expect_exit 'setting "address": value "127.0.0.1:0" must be an IP number and a port' \
  2 --name h1 --data-centre dc1 --platform 127.0.0.1:1 --address 127.0.0.1:0
expect_exit 'setting "data-centre": value "a b" must be letters' \
  2 --name h1 --data-centre "a b" --platform 127.0.0.1:1 --address 127.0.0.1:1
expect_exit 'setting "traffic-threads": value "0" must be a whole number from 1 to 64' \
  2 "${good[@]}" --traffic-threads 0
expect_exit 'setting "log-level": value "loud" must be "debug"' \
  2 "${good[@]}" --log-level loud
PAPAYAWHEEL_PEERS=here expect_exit \
  'setting "peers": value "here" must be IP numbers and ports' 2 "${good[@]}"
expect_exit 'event=cannot_listen address=192.0.2.1:9' 1 --name h1 \
  --data-centre dc1 --platform 127.0.0.1:1 --address 192.0.2.1:9

start_small_fleet 1
address="${addresses[0]}"
call=(-H 'papayawheel-customer: roofers' -H 'papayawheel-service: orders')
# expect_response TEXT STATUS CURL-ARGUMENT...: sends a request and checks the
# status of the answer and that its body contains the text.
expect_response() {
  local text="$1" status="$2" got
  shift 2
  got=$(curl -sS --max-time 5 -o "$work/body" -w '%{http_code}' "$@")
  expect "status $status ($got) for: ${*: -1}" [ "$got" = "$status" ]
  expect "the body contains: $text" grep -qF -- "$text" "$work/body"
}
expect_response 'headers \"papayawheel-customer\" and' 400 "http://$address/a"
expect_response '\"soon\" must be from 0 to 3600000' 400 "${call[@]}" \
  -H 'papayawheel-deadline-ms: soon' "http://$address/b"
expect_response '\"sideways\" is unknown' 400 "${call[@]}" \
  -H 'papayawheel-hop: sideways' "http://$address/c"
expect_response '"key_missing"' 400 "${call[@]}" -X POST "http://$address/d"
expect_response '"key_malformed"' 400 "${call[@]}" -H 'papayawheel-key: x' "http://$address/e"
expect_response '"deadline_passed"' 504 "${call[@]}" -H 'papayawheel-deadline-ms: 0' \
  "http://$address/f"
head -c 2000000 /dev/zero >"$work/large"
expect_response 'the limit is 1048576 bytes' 413 "${call[@]}" \
  --data-binary "@$work/large" "http://$address/g"
expect_response 'must be {\"leaving\": true}' 400 -X POST --data '{}' \
  "http://$address/papayawheel/v1/drain"
expect_response 'is not a request that a host answers' 404 \
  "http://$address/papayawheel/v1/nothing"
expect_response '"unknown_customer"' 403 "http://$address/papayawheel/v1/customers/nobody"
expect_response 'the heartbeat is malformed' 400 -X POST --data '[]' \
  "http://$address/papayawheel/peer/v1/heartbeat"
head -c 900000 /dev/zero | tr '\0' 'x' >"$work/whole"
expect "a body within the limit is passed on completely" \
  [ "$(curl -sS "${call[@]}" -X GET --data-binary "@$work/whole" \
    "http://$address/h" | tail -n +2 | wc -c)" -eq 900000 ]
