#pragma once

#include <iosfwd>

namespace fuchsiaquay {

struct node_bench_options;

/// Streams the same completions through a node and directly from its engine. Prints the first-token
/// and inter-token times of both, their ratios, and the node's tokens per second of one CPU core.
/// @return 0 when every stream completed, 1 otherwise
int run_node_bench(const node_bench_options& options, std::ostream& out);

}  // namespace fuchsiaquay
