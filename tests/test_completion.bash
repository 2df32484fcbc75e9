#!/bin/bash
# Guards against completions that are missing or that the tool does not have.
# Compares the completed words with the --help output of the tool.
ctl=$1
source "$2"
failed=0

# offered WORD...: prints the completions of $last after these words
offered ()
{
	COMP_WORDS=(comfreywheelctl "$@" "$last")
	COMP_CWORD=$((${#COMP_WORDS[@]} - 1))
	_comfreywheelctl
	printf '%s\n' "${COMPREPLY[@]}"
}

compare ()
{
	test "$2" = "$3" && return
	echo "$1: listed by --help:"
	echo "$2"
	echo "completed:"
	echo "$3"
	failed=1
}

last=
commands=$("$ctl" --help | sed -n 's/^  \([a-z]*\) .*/\1/p' | sort)
compare commands "$commands" "$(offered | grep -v '^-' | sort)"
last=--
for command in $commands
do
	options=$("$ctl" "$command" --help |
		sed -n 's/^  \(--[a-z-]*\).*/\1/p' | sort)
	compare "$command" "$options" "$(offered "$command" | sort)"
done
exit $failed
