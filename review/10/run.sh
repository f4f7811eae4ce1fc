#!/usr/bin/env bash
# A replica leaves with POST /Replicas.Deregister, and the core daemon that acknowledges it loses power right after. With
# TROUBLE=0 the daemon runs on. Exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/swiftbeam
player=target/review/farewell
[ -x "$program" ] && [ -x "$player" ] || {
	echo "build with the build line of deploy/system.toml and with review/build-2.sh first" >&2
	exit 2
}
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout 110 "$player" -program "$program" -record "$here/record.txt" -trouble="$trouble"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
