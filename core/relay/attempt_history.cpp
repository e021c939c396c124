#include "core/relay/attempt_history.hpp"

namespace fuchsiaquay {

namespace {

/// Attempts beyond the limit, to replace those that upstreams declined to execute.
constexpr int max_declined_attempts = 2;

bool not_executed(attempt_outcome outcome) {
    return outcome == attempt_outcome::not_sent || outcome == attempt_outcome::declined;
}

}  // namespace

void attempt_history::end(const std::string& upstream, attempt_outcome outcome,
                          const std::string& at_fault) {
    last_failed_ = at_fault.empty() ? upstream : at_fault;
    if (outcome != attempt_outcome::not_sent) {
        sent_to_.insert(upstream);
    }
    if (outcome == attempt_outcome::declined && last_failed_ == upstream) {
        declined_by_.insert(upstream);
    }
    if (!not_executed(outcome)) {
        ++executed_;
        may_have_run_ = true;
    }
}

void attempt_history::stall(const std::string& upstream) {
    end(upstream, attempt_outcome::unknown, "");
}

std::set<std::string> attempt_history::excluded(const std::string& failed) const {
    std::set<std::string> result = declined_by_;
    if (!failed.empty()) {
        result.insert(failed);
    }
    return result;
}

bool attempt_history::attempts_left(attempt_outcome outcome, int max_executed) const {
    const int executed = executed_ + (not_executed(outcome) ? 0 : 1);
    return executed < max_executed && count_ < max_executed + max_declined_attempts;
}

}  // namespace fuchsiaquay
