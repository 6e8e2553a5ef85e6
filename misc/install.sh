#!/usr/bin/env bash
# Installs the packages that the build, the tests and the demo need. Run as root
# on Debian 12.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang clang-format clang-tidy curl git
  libasio-dev libhttp-parser-dev libcurl4-openssl-dev
  libboost-dev libboost-program-options-dev libfmt-dev nlohmann-json3-dev
  libxxhash-dev zlib1g-dev doctest-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q "${missing[@]}"
