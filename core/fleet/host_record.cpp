#include "core/fleet/host_record.hpp"

#include <sstream>

#include "core/error/step_error.hpp"

namespace fuchsiaquay {

std::string write_host_record(const host_record& record) {
    return record.host + " " + record.data_centre + " " + record.callers.text() + " " +
           record.announcements.text();
}

host_record read_host_record(const std::string& text) {
    std::istringstream stream(text);
    host_record record;
    std::string callers;
    std::string announcements;
    if (!(stream >> record.host >> record.data_centre >> callers >> announcements)) {
        throw step_error("read host record", "store", "expected four words");
    }
    record.callers = parse_network_address(callers);
    record.announcements = parse_network_address(announcements);
    if (record.callers.empty() || record.announcements.empty()) {
        throw step_error("read host record", record.host, "an address is not IP:PORT");
    }
    return record;
}

}  // namespace fuchsiaquay
