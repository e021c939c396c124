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
    std::string caller_address;
    std::string datagram_address;
    std::string query_address;
    if (!(stream >> record.host >> record.data_centre >> caller_address >> datagram_address >>
          query_address)) {
        throw operation_error("read host record", "store", "expected five words");
    }
    if (!(stream >> record.processor_share)) {
        // Entries of earlier versions do not contain the processor share.
        record.processor_share = 0.0;
    }
    record.caller_address = parse_network_address(caller_address);
    record.datagram_address = parse_network_address(datagram_address);
    record.query_address = parse_network_address(query_address);
    if (record.caller_address.empty() || record.datagram_address.empty()) {
        throw operation_error("read host record", record.host, "an address is not IP:PORT");
    }
    return record;
}

}  // namespace fuchsiaquay
