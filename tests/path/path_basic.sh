#!/bin/sh
# One request from a caller to an upstream and back, and the refusals.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
a=$(conninfo 1 west) b=$(conninfo 2 west) c=$(conninfo 3 west)

"$CLIENT" statements "$a" "$b" || die "statements"
"$CLIENT" extended "$a" || die "extended query protocol"
"$CLIENT" roam 300 "$a" "$b" "$c" || die "read-your-writes"
"$CLIENT" once "$a" "$b" || die "request identity"
"$CLIENT" large-result "$c" 200000 || die "large result"

"$CLIENT" cancel "$b" "SELECT pg_sleep(2)" || die "cancel"
"$CLIENT" late "$a" || die "late answer"

# A caller without a route, a service that does not exist.
"$CLIENT" sql "$(conninfo 1 west stranger)" "SELECT 1" 2>/dev/null &&
	die "a caller without a route was served"
"$CLIENT" sql "$(conninfo 1 nowhere)" "SELECT 1" 2>/dev/null &&
	die "an unknown cluster was served"

# Memory stays bounded while a large result streams to a slow reader.
rss=$(awk '/VmHWM/ { print $2 }' "/proc/$DAEMON_PID_3/status")
echo "peak memory of vm-3: $rss kB"
test "$rss" -lt 65536 || die "memory of vm-3 grew to $rss kB"
echo "path_basic done"
