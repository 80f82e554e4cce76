#!/usr/bin/env bash
# Measures the lines of docs/CAPACITY.md: starts real processes, lets
# `agatepick bench slopes` read them, ends them by pid.
# usage: scripts/measure_slopes.sh OUT.json
set -euo pipefail
cd "$(dirname "$0")/.."
out=$1
agatepick=.venv/bin/agatepick
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# point ENTRIES AGENTS MODE: one installation, read once.
point() {
    local dir="$work/$3-$1-$2" role command config
    "$agatepick" bench slopes --write="$dir" --entries="$1" --agents="$2"
    : >"$dir/pids"
    while IFS=$'\t' read -r role command config; do
        # The command may be two words.
        # shellcheck disable=SC2086
        "$agatepick" $command --config="$config" \
            >"$config.log" 2>&1 </dev/null &
        pids+=($!)
        printf '%s\t%s\n' "$role" "$!" >>"$dir/pids"
    done <"$dir/programs"
    "$agatepick" bench slopes --read="$dir" --mode="$3" >>"$work/points"
    stop_all
}

for agents in 4 8 16 32; do point 2 "$agents" idle-by-agents; done
for entries in 2 3 4 6; do point "$entries" 4 idle-by-entries; done
point 1 10 loaded
point 1 10 remembered
"$agatepick" bench slopes --points="$work/points" --json >"$out"
