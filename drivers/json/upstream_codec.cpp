#include "drivers/json/upstream_codec.hpp"

#include <limits>

#include "drivers/json/field_reader.hpp"
#include "drivers/json/json_text.hpp"
#include "drivers/json/json_writer.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::size_t max_address_bytes = 64;
constexpr std::size_t max_models = 256;
constexpr std::int64_t max_memory_tokens = 1000000000000;

operator_wish read_wish(field_reader& fields) {
    const std::string wish = fields.text_or("wish", max_address_bytes, "serve");
    if (wish == "serve") {
        return operator_wish::serve;
    }
    if (wish == "drain") {
        return operator_wish::drain;
    }
    if (wish == "remove") {
        return operator_wish::remove;
    }
    throw field_error("wish", "has to be serve, drain or remove");
}

const char* print_wish(operator_wish wish) {
    switch (wish) {
        case operator_wish::serve:
            return "serve";
        case operator_wish::drain:
            return "drain";
        case operator_wish::remove:
            return "remove";
    }
    return "serve";
}

void read_description(field_reader& fields, upstream& value) {
    const std::string kind = fields.text("kind", max_address_bytes);
    if (kind != "engine" && kind != "service") {
        throw field_error("kind", "has to be engine or service");
    }
    value.kind = kind == "engine" ? upstream_kind::engine : upstream_kind::service;
    if (value.kind == upstream_kind::service) {
        value.service = service_id(fields.name("service"));
    } else if (fields.has("service")) {
        throw field_error("service", "belongs to kind service only");
    }
    value.address = fields.text("address", max_address_bytes);
    value.port = static_cast<std::uint16_t>(
        fields.integer("port", 1, std::numeric_limits<std::uint16_t>::max()));
    value.data_centre = data_centre_id(fields.name("data_centre"));
    for (const auto& [item, path] : fields.items("models", max_models)) {
        if (!item.is_string() || !is_name(item.as_string())) {
            throw field_error(path, "has to be a name");
        }
        value.models.emplace_back(item.as_string());
    }
    value.checks_orders = fields.bool_or("checks_orders", true);
    value.memory_tokens = fields.integer_or("memory_tokens", 0, max_memory_tokens, 0);
}

}  // namespace

operator_upstream parse_operator_upstream(const std::string& json) {
    try {
        field_reader fields(parse_object(json), "");
        operator_upstream record;
        record.value.id = upstream_id(fields.name("id"));
        record.wish = read_wish(fields);
        record.described = fields.has("address") || fields.has("kind");
        if (record.described) {
            read_description(fields, record.value);
        }
        record.value.leaving = record.wish != operator_wish::serve;
        fields.reject_unknown_members();
        return record;
    } catch (const field_error& error) {
        throw json_error(error.field().empty() ? std::string(error.what())
                                               : error.field() + ": " + error.what());
    }
}

std::string print_operator_upstream(const operator_upstream& record) {
    web::json::value out = web::json::value::object(true);
    const upstream& value = record.value;
    out["id"] = web::json::value::string(value.id.value());
    out["wish"] = web::json::value::string(print_wish(record.wish));
    if (record.described) {
        const bool engine = value.kind == upstream_kind::engine;
        out["kind"] = web::json::value::string(engine ? "engine" : "service");
        if (!engine) {
            out["service"] = web::json::value::string(value.service.value());
        }
        out["address"] = web::json::value::string(value.address);
        out["port"] = web::json::value::number(static_cast<int>(value.port));
        out["data_centre"] = web::json::value::string(value.data_centre.value());
        web::json::value models = web::json::value::array(value.models.size());
        for (std::size_t i = 0; i < value.models.size(); ++i) {
            models[i] = web::json::value::string(value.models[i].value());
        }
        out["models"] = models;
        out["checks_orders"] = web::json::value::boolean(value.checks_orders);
        out["memory_tokens"] = web::json::value::number(value.memory_tokens);
    }
    return write_json(out, json_layout::one_line);
}

}  // namespace fuchsiaquay
