#!/usr/bin/env bash
# Starts an entry as a process of its own on loopback, announces targets to it in
# three sizes and ends it again; then the benchmarks of single decisions.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=$(mktemp -d)
pid=''
finish() {
  [ -z "$pid" ] || kill "$pid" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$out"
}
trap finish EXIT
go build -o "$out/" ./cmd/almondseam ./bench/slopes
export ALMONDSEAM_FLEET_KEY=bench-fleet-key-loopback
"$out/almondseam" run --role=entry --instance=e1 --zone=bench-a --listen=127.0.0.1:19180 --link-listen=127.0.0.1:19181 \
  --config=bench/path/config.yaml --log-level=error & pid=$!
sleep 1
"$out/slopes" --links=127.0.0.1:19181 --key="$ALMONDSEAM_FLEET_KEY" --entry-pid="$pid" ${SIZES:-}
go test -run '^$' -bench "${BENCH:-.}" -benchtime "${BENCHTIME:-200ms}" ./core/... ./node/durable | grep -E 'Benchmark|^pkg'
