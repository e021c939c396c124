#pragma once

namespace fuchsiaquay {

/// Why a caller's connection ended before the answer to its request was complete.
enum class cut_cause {
    /// The caller closed the connection, or its sending half.
    caller_closed,
    caller_reset,
    /// The caller's host acknowledged nothing for too long.
    caller_unreachable,
    /// The caller stopped reading its answer, or sending its request.
    caller_stalled,
    read_failed,
    write_failed,
    /// This host broke off an answer that it could not complete.
    answer_broken,
    /// The caller read more slowly than its answer arrived, and the buffer was full.
    output_limit,
    /// The caller sent further requests while one was served, and the memory was exceeded.
    input_limit,
    header_timeout,
    /// An unexpected error ended the handling of the connection.
    handler_failed,
    /// The process ended.
    host_ended,
};

/// Name in log lines and metrics.
constexpr const char* name_of(cut_cause cause) {
    switch (cause) {
        case cut_cause::caller_closed:
            return "caller_closed";
        case cut_cause::caller_reset:
            return "caller_reset";
        case cut_cause::caller_unreachable:
            return "caller_unreachable";
        case cut_cause::caller_stalled:
            return "caller_stalled";
        case cut_cause::read_failed:
            return "read_failed";
        case cut_cause::write_failed:
            return "write_failed";
        case cut_cause::answer_broken:
            return "answer_broken";
        case cut_cause::output_limit:
            return "output_limit";
        case cut_cause::input_limit:
            return "input_limit";
        case cut_cause::header_timeout:
            return "header_timeout";
        case cut_cause::handler_failed:
            return "handler_failed";
        case cut_cause::host_ended:
            return "host_ended";
    }
    return "unknown";
}

/// Whether the caller's side ended the connection.
constexpr bool is_by_caller(cut_cause cause) {
    return cause == cut_cause::caller_closed || cause == cut_cause::caller_reset ||
           cause == cut_cause::caller_unreachable || cause == cut_cause::caller_stalled;
}

}  // namespace fuchsiaquay
