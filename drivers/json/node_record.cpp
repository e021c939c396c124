#include "drivers/json/node_record.hpp"

#include <cpprest/json.h>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

namespace json = web::json;

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
        const json::value record = json::value::parse(text);
        member_update host;
        host.host = host_id(record.at("host").as_string());
        host.address = record.at("address").as_string();
        host.peer_port = static_cast<std::uint16_t>(record.at("peer_port").as_integer());
        host.http_port = static_cast<std::uint16_t>(record.at("http_port").as_integer());
        host.data_centre = data_centre_id(record.at("data_centre").as_string());
        host.incarnation = record.at("incarnation").as_number().to_uint64();
        return host;
    } catch (const json::json_exception& error) {
        throw operation_error("read node record", "store", error.what());
    }
}

}  // namespace fuchsiaquay
