#pragma once

#include <cstddef>
#include <string>

#include "drivers/traffic/cut_cause.hpp"

namespace fuchsiaquay {

struct caller_services;

/// A connection that ended before the answer to its request was complete.
struct answer_cut {
    /// Empty if the head of the request was not read.
    std::string request;
    cut_cause cause = cut_cause::host_ended;
    /// Error of the socket, or other details.
    std::string reason;
    /// Whether the whole request was read.
    bool request_read = false;
    /// Whether the request, or part of it, was sent to an upstream.
    bool passed_on = false;
    /// Whether the whole answer was ready to be sent.
    bool answer_ready = false;
    /// Bytes of the answer that the kernel accepted.
    std::size_t accepted_bytes = 0;
    /// Bytes of the answer that the kernel has not accepted.
    std::size_t buffered_bytes = 0;
    /// Bytes that the kernel accepted and the caller's host has not acknowledged.
    std::size_t unacknowledged_bytes = 0;
    /// Time since the first bytes of the request were read.
    long long age_ms = 0;
};

/// Writes the log line and counts the cause.
void report(const answer_cut& cut, const caller_services& services);

}  // namespace fuchsiaquay
