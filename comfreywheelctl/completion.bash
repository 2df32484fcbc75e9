# bash completion for comfreywheelctl

_comfreywheelctl ()
{
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD-1]}
	local command=${COMP_WORDS[1]}
	local client='--timeout --settings --public-key-file --secret-key-file'
	local words

	COMPREPLY=()
	if [ "$COMP_CWORD" -eq 1 ]
	then
		words='apply audit check counters diff drain keygen member show
			status user --help --version'
		mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
		return
	fi
	case $prev in
	--settings | --public-key-file | --secret-key-file)
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		return
		;;
	--control | --daemon | --timeout | --base-version | --request-id | \
		--operator | --iterations)
		return
		;;
	esac
	case $command in
	apply) words="$client --control --base-version --request-id --operator" ;;
	audit) words="$client --control" ;;
	diff | show | status) words="$client --control --daemon" ;;
	counters | drain) words="$client --daemon" ;;
	keygen) words='--public-key-file --secret-key-file' ;;
	member) words="$client --control list add promote remove" ;;
	user) words='--iterations' ;;
	esac
	words="$words --json --help"
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
	case $command in
	apply | check | diff)
		mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY \
			< <(compgen -f -- "$cur")
		;;
	esac
}

complete -o filenames -F _comfreywheelctl comfreywheelctl
