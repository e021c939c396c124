#include "drivers/json/node_record.hpp"

#include <cpprest/json.h>

#include <limits>

#include "core/error/operation_error.hpp"
#include "drivers/json/field_reader.hpp"

namespace fuchsiaquay {

namespace json = web::json;

namespace {

constexpr std::size_t max_text_bytes = 256;

std::uint16_t read_port(field_reader& fields, const char* name) {
    return static_cast<std::uint16_t>(
        fields.integer(name, 0, std::numeric_limits<std::uint16_t>::max()));
}

}  // namespace

std::string print_node_record(const member_update& host) {
    json::value record = json::value::object();
    record["host"] = json::value::string(host.host.value());
    record["address"] = json::value::string(host.address);
    record["peer_port"] = json::value::number(host.peer_port);
    record["http_port"] = json::value::number(host.http_port);
    record["data_centre"] = json::value::string(host.data_centre.value());
    record["incarnation"] = json::value::number(host.incarnation);
    return record.serialize();
}

member_update parse_node_record(const std::string& text) {
    try {
        field_reader fields(parse_object(text), "");
        member_update host;
        host.host = host_id(fields.text("host", max_text_bytes));
        host.address = fields.text("address", max_text_bytes);
        host.peer_port = read_port(fields, "peer_port");
        host.http_port = read_port(fields, "http_port");
        host.data_centre = data_centre_id(fields.text_or("data_centre", max_text_bytes, ""));
        host.incarnation = static_cast<std::uint64_t>(
            fields.integer("incarnation", 0, std::numeric_limits<std::int64_t>::max()));
        return host;
    } catch (const field_error& error) {
        throw operation_error("read node record", "store", error.field() + ": " + error.what());
    }
}

}  // namespace fuchsiaquay
