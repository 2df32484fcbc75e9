#!/bin/sh
# A caller that takes a large answer as fast as it comes, straight from an
# upstream. Guards against a test upstream that leaves all others without an
# answer meanwhile, which daemons rightly take for a dead primary.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
# A primary is replaced after three probes, one each 200 ms.
"$CLIENT" beside-large "host=127.0.0.1 port=$(standin_port 1) dbname=main \
	user=x sslmode=disable gssencmode=disable" 200 ||
	die "a large answer keeps others waiting"
ctl status | grep -q 'west  *west-1  *1 ' || die "the primary was replaced"
echo "path_large done"
