#!/bin/sh
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3
javac -nowarn -d target/review-2 review/standins-2/*.java
javac -nowarn -d target/review-3 review/standins-3/*.java
