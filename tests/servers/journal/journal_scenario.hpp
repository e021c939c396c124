#pragma once

/// @file
/// The counter-examples of the model specs/journal.pml, run on the journal with and without an
/// injected fault.

#include <string>
#include <vector>

#include "tests/servers/journal/journal_fleet.hpp"

namespace fuchsiaquay {

/// Result of a scenario: number of executions of its key and the last verdict a caller got.
struct journal_scenario_result {
    int executions = 0;
    begin_verdict last = begin_verdict::not_run;
};

/// The write of node a is delayed and takes effect after node b has run the key.
inline journal_scenario_result start_lost_and_run_elsewhere(journal_fault fault) {
    journal_fleet fleet(fault);
    const std::string key = fleet.new_key();
    fleet.at("a").store_.land_late_ = 1;
    std::vector<begin_result> first;
    fleet.call("a", key, first);
    fleet.timers_.advance(std::chrono::milliseconds(100));
    const begin_result second = fleet.call_and_wait("b", key);
    fleet.timers_.advance(std::chrono::seconds(10));
    return {fleet.executions_[key], second.verdict};
}

/// Nodes a and b receive the key at the same time.
inline journal_scenario_result presented_at_two_nodes_at_once(bool compare) {
    journal_fleet fleet;
    fleet.store_.compare_ = compare;
    const std::string key = fleet.new_key();
    std::vector<begin_result> first;
    fleet.call("a", key, first);
    const begin_result second = fleet.call_and_wait("b", key);
    fleet.timers_.advance(std::chrono::seconds(1));
    return {fleet.executions_[key], second.verdict};
}

/// The call is sent and gets no answer; the caller retries at another node.
inline journal_scenario_result call_unanswered_and_asked_again(journal_fault fault) {
    journal_fleet fleet(fault);
    const std::string key = fleet.new_key();
    fleet.unanswered_ = true;
    fleet.call_and_wait("a", key);
    fleet.timers_.advance(std::chrono::seconds(1));
    const begin_result second = fleet.call_and_wait("b", key);
    return {fleet.executions_[key], second.verdict};
}

/// The caller retries at node b while node a runs the call.
inline journal_scenario_result retry_elsewhere_while_call_runs(journal_fault fault) {
    journal_fleet fleet(fault);
    const std::string key = fleet.new_key();
    std::vector<begin_result> first;
    fleet.call("a", key, first);
    fleet.timers_.advance(std::chrono::milliseconds(12));
    const begin_result second = fleet.call_and_wait("b", key);
    return {fleet.executions_[key], second.verdict};
}

/// The process of node a is replaced after its call, and the new process answers the inquiry.
inline journal_scenario_result writer_replaced_after_its_call(journal_fault fault) {
    journal_fleet fleet(fault);
    const std::string key = fleet.new_key();
    std::vector<begin_result> first;
    fleet.call("a", key, first);
    fleet.timers_.advance(std::chrono::milliseconds(12));
    fleet.at("a").start();
    const begin_result second = fleet.call_and_wait("b", key);
    return {fleet.executions_[key], second.verdict};
}

/// The start of node a takes effect after the node abandoned it and told its caller "not run"; the
/// caller retries at node b.
inline journal_scenario_result abandoned_start_lands_late(journal_fault fault) {
    journal_fleet fleet(fault);
    const std::string key = fleet.new_key();
    fleet.at("a").store_.land_late_ = 100;
    fleet.at("a").store_.landing_delay_ = std::chrono::seconds(3);
    fleet.call_and_wait("a", key);
    // Node a cannot reach the store, so it cannot write the shard before the late write takes
    // effect.
    fleet.at("a").store_.out_ = true;
    fleet.timers_.advance(std::chrono::seconds(4));
    const begin_result second = fleet.call_and_wait("b", key);
    return {fleet.executions_[key], second.verdict};
}

/// A finished key expires and is then sent again to a node whose clock is behind.
inline journal_scenario_result key_presented_after_expiry(journal_fault fault) {
    journal_fleet fleet(fault);
    const std::string key = fleet.new_key();
    fleet.call_and_wait("a", key);
    fleet.timers_.advance(std::chrono::hours(24) + std::chrono::seconds(10));
    fleet.call_and_wait("a", fleet.new_key());
    fleet.timers_.advance(std::chrono::seconds(1));
    fleet.at("b").clock_.error_ms_ = -60'000;
    const begin_result second = fleet.call_and_wait("b", key);
    return {fleet.executions_[key], second.verdict};
}

}  // namespace fuchsiaquay
