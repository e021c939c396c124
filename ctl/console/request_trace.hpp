#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/console/log_record.hpp"

namespace fuchsiaquay {

/// Trace of one request, collected from the logs of all nodes: its steps in order, the state
/// changes of its nodes shortly before its end, and the cause of its end.
class request_trace {
public:
    explicit request_trace(std::string id) : id_(std::move(id)) {}

    /// Adds a log line of any node. Lines may be added in any order.
    void add(const log_record& record);
    /// True when no line belongs to the request.
    bool empty() const noexcept { return steps_.empty(); }
    /// Prints the trace. Must not be called while `empty()` is true.
    void print(std::ostream& out);

private:
    void print_step(std::ostream& out, const log_record& step) const;
    void print_state_changes(std::ostream& out) const;
    void print_cause(std::ostream& out) const;
    void print_cut(std::ostream& out, const log_record& cut) const;
    bool is_relevant(const log_record& record) const;

    std::string id_;
    std::vector<log_record> steps_;
    /// Events that change the state of a node.
    std::vector<log_record> state_changes_;
};

}  // namespace fuchsiaquay
