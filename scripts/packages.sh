#!/usr/bin/env bash
# Installs every Debian package that the build and the tests need.
set -euo pipefail
packages=(
  libcpprest-dev libflatbuffers-dev flatbuffers-compiler libboost-dev liblog4cxx-dev
  libcpputest-dev libinih-dev libssl-dev libxxhash-dev liblua5.4-dev rapidjson-dev spin
  python3 ninja-build ccache pkg-config clang-tidy clang-format
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi
