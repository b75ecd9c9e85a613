#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# same is done without the disruption.
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
    0 | 1) export TROUBLE ;;
    *)
        echo "not run: TROUBLE is $TROUBLE; expected 0 or 1"
        exit 2
        ;;
esac
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
exec bash "$here/../run-case-2.sh" partition "$here"
