#include "ctl/console/request_trace.hpp"

#include <algorithm>
#include <iomanip>
#include <iterator>
#include <ostream>

namespace fuchsiaquay {

namespace {

/// State changes of a node are shown up to this long before the end of a request.
constexpr long long state_window_ms = 10'000;
constexpr int time_width = 9;

/// Explanation of the reason in a `request_ended` or `request_rejected` event.
struct explanation {
    const char* reason;
    const char* cause;
    const char* look_at;
};

constexpr explanation explanations[] = {
    {"configuration_out_of_date",
     "The node could not confirm that its configuration is current; keys may have been revoked.",
     "store_lost at this node, and whether other nodes lost the store at the same time"},
    {"no_room", "No engine accepted the prompt within its maximum waiting time.",
     "request_dispatched at that time: which engines were busy, and with which requests"},
    {"no_upstream", "The catalogue listed no ready upstream of the service.",
     "upstream_gone and upstream_listed before the request"},
    {"host_stopping", "The node was stopping and could not have finished the request.",
     "drain_started at this node"},
    {"unknown_key", "The configuration in force does not contain the key.",
     "configuration_applied: the version, and whether the key was revoked"},
    {"no_route", "No route of the configuration matches host and path.",
     "configuration_applied: the version, and whether the route was removed"},
    {"deadline_passed", "The deadline of the request passed before the answer was complete.",
     "first_ms of the dispatch compared with the actual time, and waited_ms"},
    {"upstream_failed", "Every attempt that the route allows failed at an upstream.",
     "attempt_failed of the same upstreams from other nodes"},
    {"body_memory", "The node's memory for callers was exceeded while the body arrived.",
     "memory_exceeded at that time, and relay_memory_bytes in the metrics"},
    {"request_memory", "The node's memory for callers was exceeded while the request waited.",
     "memory_exceeded at that time, and relay_memory_bytes in the metrics"},
    {"body_timeout", "The body stopped arriving, or took too long.",
     "the caller, the network to it, and listen.body_timeout_s"},
};

/// Explanation of the cause in an `answer_cut` event.
constexpr explanation cut_explanations[] = {
    {"caller_closed", "The caller closed its connection, or the sending half of it.",
     "the caller: did it give up, or does it close its sending half after a request?"},
    {"caller_reset", "The caller's side reset the connection.", "the caller, or a proxy before it"},
    {"caller_unreachable", "The caller's host answered no packet for seconds.",
     "the network between caller and node"},
    {"caller_stalled", "The caller took no part of its answer for the idle time-out.",
     "the caller: why did it stop reading?"},
    {"read_failed", "Receiving from the caller failed.", "reason, the error of the socket"},
    {"write_failed", "Sending to the caller failed.", "reason, the error of the socket"},
    {"answer_broken", "The node could not complete an answer that it had begun.",
     "attempt_failed and request_ended of this request"},
    {"output_limit", "The caller read more slowly than its answer arrived.",
     "buffered_bytes, and whether other callers of that node were slow"},
    {"input_limit", "The caller sent further requests, and the node's memory was exceeded.",
     "memory_exceeded at that time"},
    {"header_timeout", "The head of the request did not arrive in time.", "the caller"},
    {"handler_failed", "An unexpected error ended the handling of the connection.",
     "handler_failed at that time: a defect of the node"},
    {"host_ended", "The process ended before the answer was complete.",
     "drain_started and stopped at this node: did the stop reach its time limit?"},
};

/// Events that change the state of a node.
constexpr const char* state_events[] = {"store_lost",
                                        "store_regained",
                                        "store_history_lost",
                                        "store_watch",
                                        "configuration_applied",
                                        "drain_started",
                                        "started",
                                        "stopped",
                                        "host_silent",
                                        "host_entry_lapsed",
                                        "upstream_gone",
                                        "handler_failed",
                                        "crashed",
                                        "log_lines_dropped"};

bool is_state_change(const log_record& record) {
    return std::find(std::begin(state_events), std::end(state_events), record.event) !=
           std::end(state_events);
}

/// The fields of a line, without the request and the host, which the trace prints already.
std::string details(const log_record& record) {
    std::string text;
    for (const auto& [name, value] : record.fields) {
        if (name != "request" && name != "host" && !value.empty()) {
            text.append(" ").append(name).append("=").append(value);
        }
    }
    return text;
}

void print_explanation(std::ostream& out, const explanation* begin, const explanation* end,
                       const std::string& reason) {
    const explanation* found = std::find_if(
        begin, end, [&reason](const explanation& each) { return reason == each.reason; });
    if (found == end) {
        out << "cause: " << reason << "\n";
        return;
    }
    out << "cause: " << found->cause << "\nlook at: " << found->look_at << "\n";
}

}  // namespace

void request_trace::add(const log_record& record) {
    if (record.field("request") == id_) {
        steps_.push_back(record);
    } else if (is_state_change(record)) {
        state_changes_.push_back(record);
    }
}

void request_trace::print(std::ostream& out) {
    const auto earlier = [](const log_record& a, const log_record& b) { return a.time < b.time; };
    std::stable_sort(steps_.begin(), steps_.end(), earlier);
    std::stable_sort(state_changes_.begin(), state_changes_.end(), earlier);
    out << "request " << id_ << ", from " << steps_.front().time << "\n";
    for (const log_record& step : steps_) {
        print_step(out, step);
    }
    print_state_changes(out);
    print_cause(out);
}

void request_trace::print_step(std::ostream& out, const log_record& step) const {
    const long long after = milliseconds_between(steps_.front().time, step.time);
    out << std::setw(time_width) << (after < 0 ? "" : "+") + std::to_string(after) + " ms  "
        << step.field("host") << "  " << step.event << details(step) << "\n";
}

bool request_trace::is_relevant(const log_record& record) const {
    const long long before = milliseconds_between(record.time, steps_.back().time);
    if (before < 0 || before > state_window_ms) {
        return false;
    }
    return std::any_of(steps_.begin(), steps_.end(), [&record](const log_record& step) {
        const bool same_host = step.field("host") == record.field("host");
        const bool upstream = record.event == "upstream_gone";
        return same_host && (!upstream || step.field("upstream") == record.field("upstream"));
    });
}

void request_trace::print_state_changes(std::ostream& out) const {
    bool first = true;
    for (const log_record& record : state_changes_) {
        if (!is_relevant(record)) {
            continue;
        }
        if (first) {
            out << "state changes of its nodes in the 10 s before its end:\n";
            first = false;
        }
        print_step(out, record);
    }
}

void request_trace::print_cause(std::ostream& out) const {
    const log_record& last = steps_.back();
    if (last.event == "answer_cut") {
        print_cut(out, last);
        return;
    }
    const bool rejected = last.event == "request_rejected";
    if (!rejected && last.event != "request_ended") {
        out << "no end: the node stopped or was lost first, its log is missing, or lines were left "
               "out\n";
        return;
    }
    out << "outcome: " << (rejected ? "rejected" : last.field("outcome")) << ", status "
        << last.field("status")
        << (last.field("may_have_run") == "yes" ? ", may have run" : ", did not run at an upstream")
        << "\n";
    if (last.field("outcome") == "answered") {
        return;
    }
    print_explanation(out, std::begin(explanations), std::end(explanations), last.field("reason"));
}

void request_trace::print_cut(std::ostream& out, const log_record& cut) const {
    const bool complete = cut.field("answer_ready") == "yes";
    out << "outcome: the connection ended before the answer was complete; the request was "
        << (cut.field("request_read") == "yes" ? "read" : "not read whole") << " and "
        << (cut.field("passed_on") == "yes" ? "" : "not ") << "passed on\n"
        << "answer: " << (complete ? "complete at the node, " : "incomplete at the node, ")
        << cut.field("accepted_bytes") << " bytes sent, of which "
        << cut.field("unacknowledged_bytes") << " were not acknowledged, and "
        << cut.field("buffered_bytes") << " bytes not sent\n";
    print_explanation(out, std::begin(cut_explanations), std::end(cut_explanations),
                      cut.field("cause"));
}

}  // namespace fuchsiaquay
