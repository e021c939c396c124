#include "main/entry_settings.hpp"

#include <algorithm>

#include "drivers/settings/define_setting.hpp"
#include "drivers/settings/setting_definition.hpp"
#include "drivers/settings/settings.hpp"
#include "drivers/settings/settings_error.hpp"

namespace fuchsiaquay {

namespace {

constexpr double bytes_per_megabyte = 1'048'576.0;
constexpr double milliseconds_per_second = 1'000.0;

std::vector<setting_definition> make_definitions() {
    return {
        required_setting(
            text_setting("node", "host", "", "name of this host, unique in the fleet")),
        required_setting(text_setting("node", "data_centre", "", "data centre of this host")),
        address_setting("node", "address", "IP number for metrics and announcements"),
        number_setting("node", "memory_mb", "256", 64, 1'048'576, "MB",
                       "memory of the process; half may hold requests and answers of callers"),
        integer_setting("node", "descriptors", 0, 0, 1'000'000'000, "descriptors",
                        "descriptors of the process; 0: the limit of the operating system"),
        number_setting("node", "processor_share", "1", 0, 1'024, "cores",
                       "processor time of the process; hosts with more serve callers first"),
        required_setting(text_setting("listen", "callers", "", "IP:PORT for requests")),
        required_setting(text_setting("listen", "readiness", "", "IP:PORT for readiness checks")),
        required_setting(
            text_setting("listen", "directory", "", "IP:PORT for the question which hosts to use")),
        integer_setting(
            "listen", "connections", 0, 0, 1'000'000, "connections",
            "connections of callers; 0: three quarters of the descriptors, at most 8 for each MB"),
        seconds_setting("listen", "body_timeout_s", "120",
                        "longest time for a caller to send a request"),
        port_setting("listen", "metrics_port", 9'100, "port of the metrics"),
        port_setting("listen", "announcement_port", 9'101, "UDP and TCP port between hosts"),
        required_setting(text_setting("store", "address", "", "IP:PORT of the platform's store")),
        number_setting("configuration", "revocation_ms", "5000", 1, 3'600'000, "ms",
                       "longest time after which a revoked key may still be served"),
        number_setting("configuration", "apply_ms", "5000", 1, 3'600'000, "ms",
                       "time within which a new version is in force; a host whose copy may be "
                       "older answers 503 in place of 404 and 401"),
        number_setting("configuration", "evacuation_ms", "0", 0, 3'600'000, "ms",
                       "longest time after which an upstream of an evacuated data centre may still "
                       "get a request; 0: evacuations are not read"),
        milliseconds_setting("directory", "lifetime_ms", 2'000,
                             "how long callers may keep an answer"),
        text_setting("fleet", "data_centres", "",
                     "data centres of the fleet, separated by commas; none: the host's own"),
        integer_setting("fleet", "serving_hosts", 15, 1, 64, "hosts",
                        "hosts that callers are sent to, at least; the others stand by"),
        number_setting("fleet", "requests_per_host", "30", 1, 100'000, "requests/s",
                       "load of the serving hosts from which more hosts serve"),
        integer_setting("fleet", "prefer_own_data_centre", 0, 0, 1, "",
                        "1: requests leave the host's data centre only if they gain by it"),
        seconds_setting("shutdown", "grace_s", "8",
                        "time from the signal to stop until the process is ended"),
        number_setting("retries", "ratio", "0.2", 0, 1, "",
                       "retries of the fleet for each request to a service"),
        seconds_setting("retries", "window_s", "10", "window of the fleet's bound"),
        number_setting("retries", "allowance", "100", 0, 1'000'000, "retries",
                       "retries of the fleet in a window beyond the ratio"),
        integer_setting(
            "retries", "hosts", 16, 1, 10'000, "hosts",
            "hosts that share the allowance at least; a larger fleet divides it further"),
        number_setting("cold_upstreams", "overage", "1.5", 0, 1'000, "",
                       "bound of requests to a cold upstream in a second, as a multiple of what "
                       "its service tolerates"),
        number_setting("cold_upstreams", "slack", "5", 0, 1'000'000, "requests",
                       "requests in a second beyond that"),
        text_setting("log", "level", "info", "debug, info, warning or error"),
    };
}

/// Parses network addresses and collects the errors of malformed ones.
class address_reader {
public:
    explicit address_reader(const settings& values) : values_(values) {}

    network_address read(const char* section, const char* key) {
        const std::string& text = values_.text(section, key);
        network_address address = parse_network_address(text);
        if (address.empty()) {
            faults_.push_back(std::string(section) + "." + key + ": '" + text +
                              "' is not an address; allowed: IP:PORT");
        }
        return address;
    }
    const std::vector<std::string>& faults() const { return faults_; }

private:
    const settings& values_;
    std::vector<std::string> faults_;
};

duration milliseconds_value(const settings& values, const char* section, const char* key) {
    return std::chrono::milliseconds(values.integer(section, key));
}

std::uint16_t port_value(const settings& values, const char* section, const char* key) {
    return static_cast<std::uint16_t>(values.integer(section, key));
}

}  // namespace

const std::vector<setting_definition>& entry_setting_definitions() {
    static const std::vector<setting_definition> definitions = make_definitions();
    return definitions;
}

entry_settings load_entry_settings(const std::string& file,
                                   const std::vector<std::string>& overrides) {
    const settings values = load_settings(file, entry_setting_definitions(), overrides);
    entry_settings result;
    address_reader reader(values);
    result.host = values.text("node", "host");
    result.data_centre = values.text("node", "data_centre");
    result.callers = reader.read("listen", "callers");
    result.readiness = reader.read("listen", "readiness");
    result.directory = reader.read("listen", "directory");
    result.store = reader.read("store", "address");
    const std::string& ip = values.text("node", "address");
    result.metrics = {ip, port_value(values, "listen", "metrics_port")};
    result.announcements = {ip, port_value(values, "listen", "announcement_port")};
    result.revocation_bound =
        from_seconds(values.number("configuration", "revocation_ms") / milliseconds_per_second);
    result.apply_bound =
        from_seconds(values.number("configuration", "apply_ms") / milliseconds_per_second);
    const double evacuation_ms = values.number("configuration", "evacuation_ms");
    if (evacuation_ms > 0.0) {
        result.evacuation_bound = from_seconds(evacuation_ms / milliseconds_per_second);
    }
    result.directory_lifetime = milliseconds_value(values, "directory", "lifetime_ms");
    result.stop_grace = from_seconds(values.number("shutdown", "grace_s"));
    result.max_descriptors = static_cast<std::size_t>(values.integer("node", "descriptors"));
    result.max_connections = static_cast<std::size_t>(values.integer("listen", "connections"));
    result.body_timeout = from_seconds(values.number("listen", "body_timeout_s"));
    result.memory_bytes =
        static_cast<std::size_t>(values.number("node", "memory_mb") * bytes_per_megabyte);
    result.processor_share = values.number("node", "processor_share");
    result.serving.hosts = static_cast<std::size_t>(values.integer("fleet", "serving_hosts"));
    result.serving.data_centres =
        std::max<std::size_t>(1, values.list("fleet", "data_centres").size());
    result.serving.requests_per_host = values.number("fleet", "requests_per_host");
    result.prefer_own_data_centre = values.integer("fleet", "prefer_own_data_centre") > 0;
    result.retries.ratio = values.number("retries", "ratio");
    result.retries.window = from_seconds(values.number("retries", "window_s"));
    result.retries.allowance = values.number("retries", "allowance");
    result.retries.min_hosts = static_cast<int>(values.integer("retries", "hosts"));
    result.cold_upstreams.overage = values.number("cold_upstreams", "overage");
    result.cold_upstreams.slack = values.number("cold_upstreams", "slack");
    result.cold_upstreams.min_hosts = result.serving.hosts;
    result.log_level = values.text("log", "level");
    if (!reader.faults().empty()) {
        throw settings_error(file, reader.faults());
    }
    return result;
}

}  // namespace fuchsiaquay
