#!/bin/bash
# No name of the operators' platform stands outside platform/ and deploy/.
# Usage: check_platform_names.sh
set -u
cd "$(dirname "$0")/../.." || exit 1
NAMES='Request-Id|Deadline-Ms|Caller-Service|Target-Instance|Not-Executed'
NAMES+='|Response-Seal|Base-Version|Instance-Id|pathPrefix|trafficSplit'
NAMES+='|targetLatency|maxConnections|healthPath|maxHeaderBytes|maxBodyBytes'
NAMES+='|headerTimeout|idleTimeout|resourceType|coldLeft|heartbeatAddr'
NAMES+='|Api-Key|apiKeys|ratePerS|appAddr|internalPorts|faultTolerance|sidecar|control_plane'
NAMES+='|Config\.(Put|Get)|Instances\.(Heartbeat|Deregister)'
found=$(grep -rnEI "$NAMES" --include='*.[ch]' --include='*.cc' --include='*.md' \
	--include='*.json' --include='*.sh' --include='*.txt' \
	--exclude-dir=platform --exclude-dir=deploy --exclude-dir=journal \
	--exclude-dir='build*' --exclude-dir=target --exclude-dir=.git \
	--exclude="$(basename "$0")" . | grep -v '^./tests/platform/')
[ -z "$found" ] && exit 0
echo "names of the platform outside platform/ and deploy/:"
echo "$found"
exit 1
