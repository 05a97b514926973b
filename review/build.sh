#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir target
javac -Xlint:all -Werror -d target standins/*.java
