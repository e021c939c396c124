#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/console/log_record.hpp"

namespace fuchsiaquay {

/// What the logs of all nodes tell of one request: its steps in order, what its nodes learned
/// shortly before, and what ended it.
class request_trace {
public:
    explicit request_trace(std::string id) : id_(std::move(id)) {}

    /// Takes a line of any node, in any order.
    void add(const log_record& record);
    /// True when no line tells of the request.
    bool empty() const noexcept { return steps_.empty(); }
    /// Prints the story; `empty()` is false.
    void print(std::ostream& out);

private:
    void print_step(std::ostream& out, const log_record& step) const;
    void print_surroundings(std::ostream& out) const;
    void print_cause(std::ostream& out) const;
    bool surrounds(const log_record& record) const;

    std::string id_;
    std::vector<log_record> steps_;
    /// Changes of what nodes believe.
    std::vector<log_record> beliefs_;
};

}  // namespace fuchsiaquay
