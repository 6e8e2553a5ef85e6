#!/usr/bin/env bash
# Runs tests/soak/soak.sh with every seed of seeds.txt.
set -euo pipefail
cd "$(dirname "$0")/../soak"
while read -r seed reason; do
  [[ "$seed" == "#" ]] && continue
  echo "seed $seed: $reason"
  bash ./soak.sh "$seed"
done <seeds.txt
