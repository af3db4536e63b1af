#!/bin/sh
# Regenerates the committed XDR code; needs rpcsvc-proto.
set -e
cd "$(dirname "$0")"
for source in *.x; do
	name=${source%.x}
	rm -f "$name.h" "${name}_xdr.c"
	rpcgen -M -h -o "$name.h" "$source"
	rpcgen -M -c -o "${name}_xdr.c" "$source"
done
