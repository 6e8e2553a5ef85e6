#!/usr/bin/env bash
# The fault soak with the seeds that are kept.
set -euo pipefail
cd "$(dirname "$0")/../soak"
while read -r seed reason; do
  [[ "$seed" == "#" ]] && continue
  echo "seed $seed: $reason"
  bash ./soak.sh "$seed"
done <seeds.txt
