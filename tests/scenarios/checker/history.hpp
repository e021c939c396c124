#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/scenarios/checker/call_record.hpp"

namespace fuchsiaquay::scenarios {

/// One execution of a call, from the record of a service.
struct executed_call {
    std::string service;
    std::string key;
    std::int64_t at_ms = 0;
};

/// A call that an upstream received.
struct upstream_use {
    std::string upstream;
    std::int64_t at_ms = 0;
};

/// An upstream that was listed as leaving; after `bound_ms` it must receive no requests.
struct upstream_leaving {
    std::string upstream;
    std::int64_t at_ms = 0;
    std::int64_t bound_ms = 0;
};

/// Memory that an engine still holds after all activity has ended.
struct engine_memory {
    std::string engine;
    std::int64_t held_tokens = 0;
};

/// Revision of a customer's contract as one process of a node reported it.
struct revision_sample {
    std::string node;
    std::int64_t incarnation = 0;
    std::int64_t at_ms = 0;
    std::string customer;
    std::int64_t revision = 0;
};

/// A period in which a node, or the connection to it, was made faulty.
struct node_fault {
    std::string node;
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
};

/// A planned stop of a node, from the signal to the end of its process.
struct planned_stop {
    std::string node;
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
};

/// Everything that was sent, executed and observed in one scenario.
struct history {
    std::vector<call_record> calls;
    std::vector<executed_call> executions;
    std::vector<upstream_use> uses;
    std::vector<upstream_leaving> leavings;
    std::vector<engine_memory> memory;
    std::vector<revision_sample> revisions;
    std::vector<node_fault> faults;
    std::vector<planned_stop> stops;
};

}  // namespace fuchsiaquay::scenarios
