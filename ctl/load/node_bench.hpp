#pragma once

#include <iosfwd>

namespace fuchsiaquay {

struct node_bench_options;

/// Streams the same completions through a node and directly from its engine, and prints first-token
/// and between-token times of both with their ratios, and the node's tokens a second of one core.
/// @return 0 when every stream ended whole, 1 otherwise
int run_node_bench(const node_bench_options& options, std::ostream& out);

}  // namespace fuchsiaquay
