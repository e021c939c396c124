#include "tests/stand_ins/platform/gateway.hpp"

#include <cpprest/asyncrt_utils.h>

#include <chrono>
#include <stdexcept>

#include "tests/stand_ins/support/http_server.hpp"

namespace fuchsiaquay::stand_ins {

namespace json = web::json;

namespace {

json::value encoded(const std::string& bytes) {
    return json::value::string(
        utility::conversions::to_base64(std::vector<unsigned char>(bytes.begin(), bytes.end())));
}

json::value int64_text(std::int64_t value) {
    return json::value::string(std::to_string(value));
}

json::value entry_json(const stored_entry& entry) {
    json::value out;
    out["key"] = encoded(entry.key);
    out["value"] = encoded(entry.value);
    out["create_revision"] = int64_text(entry.create_revision);
    out["mod_revision"] = int64_text(entry.mod_revision);
    out["version"] = int64_text(entry.version);
    out["lease"] = int64_text(entry.lease);
    return out;
}

template <typename T>
bool compare_values(const std::string& result, const T& actual, const T& wanted) {
    if (result == "GREATER") {
        return actual > wanted;
    }
    if (result == "LESS") {
        return actual < wanted;
    }
    return (actual == wanted) != (result == "NOT_EQUAL");
}

const json::value& either(const json::value& object, const std::string& a, const std::string& b) {
    return object.has_field(a) ? object.at(a) : object.at(b);
}

}  // namespace

std::string bytes_field(const json::value& object, const std::string& name) {
    const std::vector<unsigned char> bytes =
        utility::conversions::from_base64(text_field(object, name));
    return {bytes.begin(), bytes.end()};
}

bool gateway::is_write(const std::string& path) {
    return path != "/v3/kv/range" && path != "/v3/watch";
}

json::value gateway::header() const {
    json::value out;
    out["revision"] = int64_text(store_.revision());
    return out;
}

json::value gateway::execute(const std::string& path, const json::value& body) {
    const auto now = std::chrono::steady_clock::now();
    store_.expire(now);
    store_.begin();
    json::value out = json::value::object();
    if (path == "/v3/kv/put") {
        out = put(body);
    } else if (path == "/v3/kv/range") {
        out = range(body);
    } else if (path == "/v3/kv/deleterange") {
        out = erase(body);
    } else if (path == "/v3/kv/txn") {
        out = transact(body);
    } else if (path == "/v3/lease/grant") {
        const std::int64_t ttl = number_field(body, "TTL");
        out["ID"] =
            int64_text(store_.grant(number_field(body, "ID"), std::chrono::seconds(ttl), now));
        out["TTL"] = int64_text(ttl);
    } else if (path == "/v3/lease/keepalive") {
        json::value result;
        const std::int64_t id = number_field(body, "ID");
        result["ID"] = int64_text(id);
        result["TTL"] = int64_text(store_.keep_alive(id, now));
        result["header"] = header();
        out["result"] = result;
    } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
        store_.revoke(number_field(body, "ID"));
    } else {
        throw std::runtime_error("unknown call");
    }
    out["header"] = header();
    return out;
}

json::value gateway::put(const json::value& body) {
    store_.put(bytes_field(body, "key"), bytes_field(body, "value"), number_field(body, "lease"));
    return json::value::object();
}

json::value gateway::erase(const json::value& body) {
    json::value out;
    out["deleted"] =
        int64_text(store_.erase(bytes_field(body, "key"), bytes_field(body, "range_end")));
    return out;
}

json::value gateway::range(const json::value& body) const {
    const auto entries = store_.range(bytes_field(body, "key"), bytes_field(body, "range_end"));
    const auto limit = static_cast<std::size_t>(number_field(body, "limit"));
    json::value list = json::value::array();
    for (std::size_t i = 0; i < entries.size() && (limit == 0 || i < limit); ++i) {
        list[i] = entry_json(entries[i]);
    }
    json::value out;
    out["kvs"] = list;
    out["more"] = json::value::boolean(limit != 0 && entries.size() > limit);
    out["count"] = int64_text(static_cast<std::int64_t>(entries.size()));
    return out;
}

bool gateway::holds(const json::value& compare) const {
    const std::string result = text_field(compare, "result", "EQUAL");
    const std::string target = text_field(compare, "target", "VERSION");
    const auto found = store_.range(bytes_field(compare, "key"), "");
    const stored_entry entry = found.empty() ? stored_entry{} : found.front();
    if (target == "VALUE") {
        return !found.empty() && compare_values(result, entry.value, bytes_field(compare, "value"));
    }
    if (target == "MOD") {
        return compare_values(result, entry.mod_revision, number_field(compare, "mod_revision"));
    }
    if (target == "CREATE") {
        return compare_values(result, entry.create_revision,
                              number_field(compare, "create_revision"));
    }
    return compare_values(result, entry.version, number_field(compare, "version"));
}

json::value gateway::operation(const json::value& op) {
    json::value out;
    if (op.has_field("requestPut") || op.has_field("request_put")) {
        out["response_put"] = put(either(op, "requestPut", "request_put"));
        out["response_put"]["header"] = header();
    } else if (op.has_field("requestRange") || op.has_field("request_range")) {
        out["response_range"] = range(either(op, "requestRange", "request_range"));
        out["response_range"]["header"] = header();
    } else {
        out["response_delete_range"] =
            erase(either(op, "requestDeleteRange", "request_delete_range"));
        out["response_delete_range"]["header"] = header();
    }
    return out;
}

json::value gateway::transact(const json::value& body) {
    bool succeeded = true;
    if (body.has_field("compare")) {
        for (const json::value& compare : body.at("compare").as_array()) {
            succeeded = succeeded && holds(compare);
        }
    }
    json::value responses = json::value::array();
    const std::string branch = succeeded ? "success" : "failure";
    if (body.has_field(branch)) {
        std::size_t index = 0;
        for (const json::value& op : body.at(branch).as_array()) {
            responses[index++] = operation(op);
        }
    }
    json::value out;
    out["succeeded"] = json::value::boolean(succeeded);
    out["responses"] = responses;
    return out;
}

std::string gateway::watch_line(const std::vector<store_event>& events) const {
    json::value list = json::value::array();
    std::size_t index = 0;
    for (const store_event& event : events) {
        json::value entry;
        entry["type"] = json::value::string(event.deleted ? "DELETE" : "PUT");
        entry["kv"] = entry_json(event.entry);
        list[index++] = entry;
    }
    json::value line;
    line["result"]["header"] = header();
    line["result"]["events"] = list;
    return line.serialize();
}

std::string gateway::created_line() const {
    json::value line;
    line["result"]["header"] = header();
    line["result"]["created"] = json::value::boolean(true);
    return line.serialize();
}

}  // namespace fuchsiaquay::stand_ins
