#!/bin/sh
# Builds the stand-ins that the scripts start, from review/standins into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
javac -d build standins/*.java
