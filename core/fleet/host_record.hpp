#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Where a host can be reached.
struct host_record {
    std::string host;
    std::string data_centre;
    /// Where callers connect.
    network_address caller_address;
    /// Where datagrams of other hosts are received.
    network_address datagram_address;
    /// Where other hosts ask, by HTTP, for what does not fit into a datagram.
    network_address query_address;
    /// Part of a processor core that the host may use; hosts with more serve callers first.
    double processor_share = 0.0;
    /// Revision at which the process registered in the store; a later start has a larger one.
    std::uint64_t incarnation = 0;

    friend bool operator==(const host_record& a, const host_record& b) {
        return std::tie(a.host, a.data_centre, a.caller_address, a.datagram_address,
                        a.query_address, a.processor_share, a.incarnation) ==
               std::tie(b.host, b.data_centre, b.caller_address, b.datagram_address,
                        b.query_address, b.processor_share, b.incarnation);
    }
    friend bool operator!=(const host_record& a, const host_record& b) { return !(a == b); }
};

/// One line of text: `host data_centre callers datagrams queries processor_share`; the incarnation
/// is not part of it.
std::string write_host_record(const host_record& record);
/// @throws step_error  the text is no record
host_record read_host_record(const std::string& text);

}  // namespace fuchsiaquay
