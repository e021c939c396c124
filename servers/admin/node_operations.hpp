#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Operations on nodes for operators, and the status of this node.
class node_operations {
public:
    /// Receives an error message, or an empty text on success.
    using done_handler = std::function<void(const std::string& failure)>;

    node_operations() = default;
    node_operations(const node_operations&) = delete;
    node_operations& operator=(const node_operations&) = delete;
    virtual ~node_operations() = default;

    /// Starts the graceful shutdown of a node.
    virtual void drain(const host_id& host, const done_handler& done) = 0;
    /// Values of this node for the `status` operation, named like the metrics.
    virtual std::vector<std::pair<std::string, double>> status_values() const = 0;
};

}  // namespace fuchsiaquay
