#include "drivers/store/etcd_json.hpp"

#include <charconv>
#include <utility>

#include "core/error/operation_error.hpp"
#include "drivers/crypto/base64.hpp"
#include "drivers/json/json_parser.hpp"

namespace fuchsiaquay {

namespace json = web::json;

namespace {

std::string string_field(const json::value& object, const std::string& name) {
    return object.has_string_field(name) ? object.at(name).as_string() : "";
}

stored_value parse_key_value(const json::value& kv) {
    stored_value value;
    value.key = decode_base64(string_field(kv, "key"));
    value.value = decode_base64(string_field(kv, "value"));
    value.revision = integer_field(kv, "mod_revision");
    return value;
}

std::int64_t header_revision(const json::value& response) {
    return response.has_object_field("header") ? integer_field(response.at("header"), "revision")
                                               : 0;
}

json::value condition_json(const transaction::condition& condition) {
    json::value compare = json::value::object();
    compare["target"] = json::value::string("MOD");
    compare["result"] = json::value::string("EQUAL");
    compare["key"] = json::value::string(encode_base64(condition.key));
    compare["mod_revision"] = json::value::string(std::to_string(condition.revision));
    return compare;
}

json::value write_json(const transaction::write& write) {
    json::value body = json::value::object();
    body["key"] = json::value::string(encode_base64(write.key));
    json::value operation = json::value::object();
    if (write.erase) {
        operation["requestDeleteRange"] = body;
        return operation;
    }
    body["value"] = json::value::string(encode_base64(write.value));
    if (write.lease != 0) {
        body["lease"] = json::value::string(std::to_string(write.lease));
    }
    operation["requestPut"] = body;
    return operation;
}

}  // namespace

std::string prefix_range_end(const std::string& prefix) {
    std::string end = prefix;
    while (!end.empty()) {
        const auto last = static_cast<unsigned char>(end.back());
        if (last < 0xFF) {
            end.back() = static_cast<char>(last + 1);
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0');
}

std::int64_t integer_field(const json::value& object, const std::string& name) {
    if (!object.has_field(name)) {
        return 0;
    }
    const json::value& field = object.at(name);
    if (field.is_string()) {
        const std::string& text = field.as_string();
        std::int64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            throw operation_error("decode", "store", name + ": expected an integer of 64 bits");
        }
        return value;
    }
    if (field.is_number() && !field.as_number().is_int64()) {
        throw operation_error("decode", "store", name + ": expected an integer of 64 bits");
    }
    return field.is_number() ? field.as_number().to_int64() : 0;
}

json::value range_request(const std::string& key, const std::string& range_end) {
    json::value body = json::value::object();
    body["key"] = json::value::string(encode_base64(key));
    if (!range_end.empty()) {
        body["range_end"] = json::value::string(encode_base64(range_end));
    }
    return body;
}

json::value txn_request(const transaction& change) {
    std::vector<json::value> conditions;
    for (const transaction::condition& condition : change.conditions) {
        conditions.push_back(condition_json(condition));
    }
    std::vector<json::value> writes;
    for (const transaction::write& write : change.writes) {
        writes.push_back(write_json(write));
    }
    json::value body = json::value::object();
    body["compare"] = json::value::array(conditions);
    body["success"] = json::value::array(writes);
    return body;
}

json::value watch_request(const std::string& prefix, std::int64_t from_revision) {
    json::value create = range_request(prefix, prefix_range_end(prefix));
    create["start_revision"] = json::value::string(std::to_string(from_revision));
    json::value body = json::value::object();
    body["create_request"] = create;
    return body;
}

read_result parse_range(const json::value& response) {
    read_result result;
    try {
        result.store_revision = header_revision(response);
        if (response.has_array_field("kvs")) {
            for (const json::value& kv : response.at("kvs").as_array()) {
                result.values.push_back(parse_key_value(kv));
            }
        }
        return result;
    } catch (const std::exception& error) {
        return read_result{std::string("malformed response: ") + error.what(), {}, 0};
    }
}

write_result parse_txn(const json::value& response) {
    write_result result;
    try {
        const bool succeeded =
            response.has_boolean_field("succeeded") && response.at("succeeded").as_bool();
        result.outcome = succeeded ? write_outcome::applied : write_outcome::conflict;
        result.revision = header_revision(response);
        return result;
    } catch (const std::exception& error) {
        return write_result{write_outcome::unknown, 0,
                            std::string("malformed response: ") + error.what()};
    }
}

std::int64_t parse_lease(const json::value& response) {
    try {
        return integer_field(response, "ID");
    } catch (const operation_error&) {
        return 0;
    }
}

bool parse_keep_alive(const json::value& response) {
    try {
        const bool wrapped = response.has_object_field("result");
        return integer_field(wrapped ? response.at("result") : response, "TTL") > 0;
    } catch (const operation_error&) {
        return false;
    }
}

std::vector<watch_event> parse_watch_line(const std::string& line) {
    const json::value message = parse_json(line);
    if (!message.has_object_field("result")) {
        throw operation_error("watch", "store", "the stream reported an error");
    }
    const json::value& result = message.at("result");
    if (result.has_boolean_field("canceled") && result.at("canceled").as_bool()) {
        throw operation_error("watch", "store", "cancelled by the store");
    }
    std::vector<watch_event> events;
    if (!result.has_array_field("events")) {
        return events;
    }
    for (const json::value& item : result.at("events").as_array()) {
        watch_event event;
        event.value = parse_key_value(item.at("kv"));
        event.erased = string_field(item, "type") == "DELETE";
        events.push_back(std::move(event));
    }
    return events;
}

}  // namespace fuchsiaquay
