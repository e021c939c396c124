#include "core/fleet/host_record.hpp"

#include <sstream>

#include "core/error/step_error.hpp"

namespace fuchsiaquay {

std::string write_host_record(const host_record& record) {
    std::ostringstream text;
    text << record.host << ' ' << record.data_centre << ' ' << record.callers.text() << ' '
         << record.datagrams.text() << ' ' << record.queries.text() << ' '
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
        throw step_error("read host record", "store", "expected five words");
    }
    if (!(stream >> record.processor_share)) {
        // Entries of earlier versions have no share.
        record.processor_share = 0.0;
    }
    record.callers = parse_network_address(callers);
    record.datagrams = parse_network_address(datagrams);
    record.queries = parse_network_address(queries);
    if (record.callers.empty() || record.datagrams.empty()) {
        throw step_error("read host record", record.host, "an address is not IP:PORT");
    }
    return record;
}

}  // namespace fuchsiaquay
