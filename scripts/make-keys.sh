#!/usr/bin/env bash
# Makes a CA of the fleet's own and one key for each VM: make-keys.sh DIRECTORY VM...
set -euo pipefail
directory=$1
shift
days=30
mkdir -p "$directory"
cd "$directory"
openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days "$days" \
    -subj "/CN=lacewingfall fleet CA" -keyout ca.key -out ca.pem 2>/dev/null
for vm in "$@"; do
    openssl req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -subj "/CN=$vm" \
        -keyout "$vm.key" -out "$vm.csr" 2>/dev/null
    openssl x509 -req -in "$vm.csr" -CA ca.pem -CAkey ca.key -CAcreateserial -days "$days" -out "$vm.pem" 2>/dev/null
    rm "$vm.csr"
done
