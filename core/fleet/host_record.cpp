#include "core/fleet/host_record.hpp"

#include <sstream>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

std::string write_host_record(const host_record& record) {
    std::ostringstream text;
    text << record.host << ' ' << record.data_centre << ' ' << record.caller_address.text() << ' '
         << record.datagram_address.text() << ' ' << record.query_address.text() << ' '
         << record.processor_share;
    return text.str();
}

host_record read_host_record(const std::string& text) {
    std::istringstream stream(text);
    host_record record;
    std::string callers;
    std::string datagrams;
    std::string queries;
    if (!(stream >> record.host >> record.data_centre >> callers >> datagrams >> queries)) {
        throw operation_error("read host record", "store", "expected five words");
    }
    if (!(stream >> record.processor_share)) {
        // Entries of earlier versions do not contain the processor share.
        record.processor_share = 0.0;
    }
    record.caller_address = parse_network_address(callers);
    record.datagram_address = parse_network_address(datagrams);
    record.query_address = parse_network_address(queries);
    if (record.caller_address.empty() || record.datagram_address.empty()) {
        throw operation_error("read host record", record.host, "an address is not IP:PORT");
    }
    return record;
}

}  // namespace fuchsiaquay
