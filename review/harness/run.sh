#!/bin/sh
# Runs a case: run.sh PROGRAM FOLDER [TROUBLE]. Ends with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With 0 as TROUBLE, or in the variable of that name, the disruption is left out.
set -u
program=$1
folder=$2
TROUBLE=${3:-${TROUBLE:-1}}
harness=$(cd "$(dirname "$0")" && pwd)
CASE_ROOT=$(cd "$harness/../.." && pwd)
CASE_RECORD="$folder/record.txt"
CASE_TEMP=$(mktemp -d)
export CASE_ROOT CASE_RECORD CASE_TEMP TROUBLE
finish() {
    if [ -f "$CASE_TEMP/processes" ]; then
        while read -r id; do
            # Only processes of this run: their command line names its folder.
            if [ -r "/proc/$id/cmdline" ] && grep -qaF "$CASE_TEMP" "/proc/$id/cmdline"; then
                kill -9 "$id" 2>/dev/null
            fi
        done <"$CASE_TEMP/processes"
    fi
    if [ -n "${CASE_LOGS:-}" ]; then
        cp "$CASE_TEMP"/*.log "$CASE_LOGS"/
    fi
    rm -rf "$CASE_TEMP"
}
trap finish EXIT
trap 'exit 2' INT TERM
if [ ! -x "$CASE_ROOT/target/release/trefoil-vm" ] || [ ! -x "$harness/target/release/$program" ]; then
    echo "cannot run: build the deploy file and review/build.sh first"
    exit 2
fi
timeout -k 2 110 "$harness/target/release/$program"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
