#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
python3 case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT HUP
wait "$child"
code=$?
# A signal ends the first wait; the script itself then still ends what it started.
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  code=$?
done
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
