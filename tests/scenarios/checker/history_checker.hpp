#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/scenarios/checker/history.hpp"
#include "tests/scenarios/checker/violation.hpp"

namespace fuchsiaquay::scenarios {

/// Checks a complete history against the required properties, named:
/// "ends once", "within its time", "whole answer", "not run", "at most once", "memory returns",
/// "leaving upstream", "contract revision", "planned stop".
class history_checker {
public:
    /// @param slack_ms  tolerance after a deadline on a loaded machine
    history_checker(const history& seen, std::int64_t slack_ms);

    std::vector<violation> check();

private:
    void check_end(const call_record& call);
    void check_time(const call_record& call);
    void check_answer(const call_record& call);
    void check_not_run(const call_record& call);
    void check_at_most_once(const call_record& call);
    void check_stops(const call_record& call);
    void check_memory();
    void check_leaving();
    void check_revisions();
    bool faulty(const attempt& tried) const;
    void report(const std::string& property, const std::string& detail);

    const history& seen_;
    const std::int64_t slack_ms_;
    /// Execution times by key.
    std::map<std::string, std::vector<std::int64_t>> executions_;
    std::vector<violation> found_;
};

/// The answer that the engine stand-in gives to `prompt`.
std::string expected_answer(const std::string& prompt, std::int64_t max_tokens);

}  // namespace fuchsiaquay::scenarios
