#!/usr/bin/env bash
# A short run of the fault soak with a fixed seed.
exec bash "$(dirname "$0")/../soak/soak.sh" 1 24
