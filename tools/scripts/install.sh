#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any are missing.
set -euo pipefail
packages=(
  libtbb-dev libcapnp-dev capnproto libboost1.81-dev libboost-context1.81-dev
  libboost-program-options1.81-dev libboost-log1.81-dev libboost-test1.81-dev
  libboost-json1.81-dev libexpected-dev librapidcheck-dev libxxhash-dev libzstd-dev libssl-dev
  ccache cmake ninja-build g++ clang-format clang-tidy clang libclang-rt-14-dev jq curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
apt-get install -y -qq "${missing[@]}"
