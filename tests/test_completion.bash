#!/bin/bash
# Guards against commands and options that the shell does not complete, or
# completes though the tool lacks them: both sides are asked for their lists.
ctl=$1
source "$2"
failed=0

# offered WORD...: what is completed behind these words, options and commands
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
	echo "$1: the tool has"
	echo "$2"
	echo "but completed is"
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
