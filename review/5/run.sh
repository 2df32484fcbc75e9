#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 does the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.." || exit 2
test -x "target/review/case-$number" || {
	echo "run review/build.sh first" >&2
	exit 2
}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE=${TROUBLE:-1} timeout -k 2 118 "target/review/case-$number" "$folder" \
	"$here/record.txt"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
