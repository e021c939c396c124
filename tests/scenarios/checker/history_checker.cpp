#include "tests/scenarios/checker/history_checker.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "tests/stand_ins/support/text.hpp"

namespace fuchsiaquay::scenarios {

namespace {

std::string name_of(const call_record& call) {
    return "call " + std::to_string(call.id) + (call.key.empty() ? "" : " key " + call.key);
}

std::string at(const attempt& tried) {
    return " at " + tried.node + " from " + std::to_string(tried.start_ms) + " to " +
           std::to_string(tried.end_ms);
}

bool answered(const call_record& call) {
    return !call.attempts.empty() && call.attempts.back().end == attempt_end::answered;
}

/// True when the caller knows that this attempt did not run the call.
bool certainly_not_run(const attempt& tried) {
    return tried.end == attempt_end::not_run || tried.end == attempt_end::unreachable;
}

}  // namespace

std::string expected_answer(const std::string& prompt, std::int64_t max_tokens) {
    std::string text;
    for (std::int64_t offset = 0; offset < max_tokens; ++offset) {
        text += stand_ins::answer_token(prompt, static_cast<std::uint64_t>(offset));
    }
    return text;
}

history_checker::history_checker(const history& seen, std::int64_t slack_ms)
    : seen_(seen), slack_ms_(slack_ms) {
    for (const executed_call& call : seen_.executions) {
        executions_[call.key].push_back(call.at_ms);
    }
}

std::vector<violation> history_checker::check() {
    for (const call_record& call : seen_.calls) {
        check_end(call);
        check_time(call);
        check_answer(call);
        check_not_run(call);
        check_at_most_once(call);
        check_stops(call);
    }
    check_memory();
    check_leaving();
    check_revisions();
    return found_;
}

void history_checker::report(const std::string& property, const std::string& detail) {
    found_.push_back({property, detail});
}

void history_checker::check_end(const call_record& call) {
    if (!call.ended || call.attempts.empty()) {
        report("ends once", name_of(call) + " has not ended");
        return;
    }
    for (const attempt& tried : call.attempts) {
        const bool twice = tried.ends_seen > 1;
        const bool never = tried.end == attempt_end::answered && tried.ends_seen != 1;
        if (twice || never) {
            report("ends once",
                   name_of(call) + " saw " + std::to_string(tried.ends_seen) + " ends" + at(tried));
        }
    }
}

bool history_checker::faulty(const attempt& tried) const {
    return std::any_of(seen_.faults.begin(), seen_.faults.end(), [&](const node_fault& fault) {
        return fault.node == tried.node && fault.from_ms <= tried.end_ms &&
               fault.to_ms >= tried.start_ms;
    });
}

void history_checker::check_time(const call_record& call) {
    for (const attempt& tried : call.attempts) {
        const std::int64_t taken = tried.end_ms - tried.start_ms;
        const bool late =
            tried.end == attempt_end::timed_out || taken > call.deadline_ms + slack_ms_;
        if (late && !faulty(tried)) {
            report("within its time", name_of(call) + " took " + std::to_string(taken) + " ms of " +
                                          std::to_string(call.deadline_ms) + at(tried));
        }
    }
}

void history_checker::check_answer(const call_record& call) {
    if (!answered(call)) {
        return;
    }
    if (call.type == call_record::kind::service) {
        if (call.answer != call.key) {
            report("whole answer", name_of(call) + " received the answer of " + call.answer);
        }
        return;
    }
    const std::string expected = expected_answer(call.body, call.max_tokens);
    if (call.answer != expected) {
        const auto first =
            std::mismatch(expected.begin(), expected.end(), call.answer.begin(), call.answer.end());
        report("whole answer", name_of(call) + " has " + std::to_string(call.answer.size()) +
                                   " bytes of " + std::to_string(expected.size()) +
                                   ", first difference at " +
                                   std::to_string(std::distance(expected.begin(), first.first)) +
                                   at(call.attempts.back()));
    }
}

void history_checker::check_not_run(const call_record& call) {
    if (call.type != call_record::kind::service || call.key.empty()) {
        return;
    }
    const auto executed = executions_.find(call.key);
    if (executed == executions_.end()) {
        return;
    }
    // An execution belongs to the earliest attempt that was not refused, or to a later one. An
    // execution before it, or without any, was answered "not run".
    std::int64_t earliest_ms = std::numeric_limits<std::int64_t>::max();
    for (const attempt& tried : call.attempts) {
        if (!certainly_not_run(tried)) {
            earliest_ms = std::min(earliest_ms, tried.start_ms);
        }
    }
    for (const std::int64_t at_ms : executed->second) {
        if (at_ms < earliest_ms) {
            report("not run",
                   name_of(call) + " was told \"not run\" and ran at " + std::to_string(at_ms));
        }
    }
}

void history_checker::check_at_most_once(const call_record& call) {
    if (call.type != call_record::kind::service || call.repeatable) {
        return;
    }
    const auto executed = executions_.find(call.key);
    const std::size_t count = executed == executions_.end() ? 0 : executed->second.size();
    if (count > 1) {
        report("at most once", name_of(call) + " ran " + std::to_string(count) + " times");
    }
    if (count == 0 && answered(call)) {
        report("whole answer", name_of(call) + " was answered and never ran");
    }
}

void history_checker::check_stops(const call_record& call) {
    for (const attempt& tried : call.attempts) {
        const bool broken = tried.end == attempt_end::cut || tried.end == attempt_end::unreachable;
        if (!broken || !tried.directory_valid || faulty(tried)) {
            continue;
        }
        for (const planned_stop& stop : seen_.stops) {
            if (stop.node == tried.node && stop.from_ms <= tried.end_ms &&
                stop.to_ms >= tried.start_ms) {
                report("planned stop", name_of(call) + " was cut" + at(tried));
            }
        }
    }
}

void history_checker::check_memory() {
    for (const engine_memory& each : seen_.memory) {
        if (each.held_tokens != 0) {
            report("memory returns",
                   each.engine + " still holds " + std::to_string(each.held_tokens) + " tokens");
        }
    }
}

void history_checker::check_leaving() {
    for (const upstream_leaving& leaving : seen_.leavings) {
        const auto late =
            std::count_if(seen_.uses.begin(), seen_.uses.end(), [&](const upstream_use& use) {
                return use.upstream == leaving.upstream &&
                       use.at_ms > leaving.at_ms + leaving.bound_ms;
            });
        if (late > 0) {
            report("leaving upstream", leaving.upstream + " received " + std::to_string(late) +
                                           " calls after the bound");
        }
    }
}

void history_checker::check_revisions() {
    std::vector<revision_sample> sorted = seen_.revisions;
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [](const revision_sample& a, const revision_sample& b) { return a.at_ms < b.at_ms; });
    // A restarted node must catch up before it serves, so the highest revision is kept over
    // incarnations.
    std::map<std::pair<std::string, std::string>, std::int64_t> highest;
    for (const revision_sample& sample : sorted) {
        std::int64_t& known = highest[{sample.node, sample.customer}];
        if (sample.revision < known) {
            report("contract revision", sample.node + " went from " + std::to_string(known) +
                                            " back to " + std::to_string(sample.revision) +
                                            " for " + sample.customer);
        }
        known = std::max(known, sample.revision);
    }
}

}  // namespace fuchsiaquay::scenarios
