#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Addresses and identity of a host.
struct host_record {
    std::string host;
    std::string data_centre;
    /// Address to which callers connect.
    network_address caller_address;
    /// Address that receives datagrams of other hosts.
    network_address datagram_address;
    /// HTTP address from which other hosts fetch data that does not fit into a datagram.
    network_address query_address;
    /// Share of a processor core that the host may use; hosts with a larger share are preferred for
    /// serving callers.
    double processor_share = 0.0;
    /// Store revision at which the process registered; increases with each start.
    std::uint64_t incarnation = 0;

    friend bool operator==(const host_record& a, const host_record& b) {
        return std::tie(a.host, a.data_centre, a.caller_address, a.datagram_address,
                        a.query_address, a.processor_share, a.incarnation) ==
               std::tie(b.host, b.data_centre, b.caller_address, b.datagram_address,
                        b.query_address, b.processor_share, b.incarnation);
    }
    friend bool operator!=(const host_record& a, const host_record& b) { return !(a == b); }
};

/// Serializes a record as one line: host, data centre, caller address, datagram address, query
/// address and processor share, separated by spaces. The incarnation is not included.
std::string write_host_record(const host_record& record);
/// @throws operation_error  if the text is not a valid record
host_record read_host_record(const std::string& text);

}  // namespace fuchsiaquay
