#!/bin/sh
# Plays the case of this folder; TROUBLE=0 plays it without its disruption.
# Writes record.txt here. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
classes=target/review-3
if [ ! -f "$classes/TenantName.class" ]; then
    mkdir -p "$classes" && javac -d "$classes" review/standins-3/*.java || exit 2
fi
exec java -XX:+UseSerialGC -Xmx256m -cp "$classes" TenantName . review/8
