#!/bin/sh
# Guards against an event that the operators' page does not name, or names
# although no source writes it.
set -eu
cd "$1"
code=$(cat entry/*.c control/*.c platform/*.c transport/channel.c common/event_log.c | tr '\n' ' ' |
	grep -oE '(event_log(_always)?\( *|"event", *)"[a-z_]+"' |
	grep -oE '"[a-z_]+"$' | tr -d '"' | sort -u)
page=$(sed -n '/^## Events/,/^## Outcomes/p' docs/OPERATIONS.md |
	grep '^| `' | cut -d'|' -f2 | grep -oE '`[a-z_]+`' | tr -d '`' | sort -u)
test -n "$code"
printf '%s\n' "$code" >"$2/events-code"
printf '%s\n' "$page" >"$2/events-page"
diff "$2/events-code" "$2/events-page"
