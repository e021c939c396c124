#include "drivers/json/contract_codec.hpp"

#include <algorithm>
#include <set>

#include "drivers/json/field_reader.hpp"
#include "drivers/json/json_writer.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::size_t max_keys = 64;
constexpr std::size_t max_ranks = 16;
constexpr std::size_t max_models = 64;
constexpr std::size_t max_services = 64;
constexpr std::int64_t max_level = 15;
constexpr std::size_t digest_digits = 64;
constexpr double min_weight = 0.001;
constexpr double max_weight = 1000.0;
constexpr double max_requests_per_second = 1e6;
constexpr double max_tokens_per_second = 1e9;
constexpr std::int64_t max_concurrent_requests = 1000000;
/// A day.
constexpr std::int64_t max_milliseconds = 24LL * 3600 * 1000;
/// Tolerance for rounding errors of shares such as 0.1.
constexpr double share_rounding = 1e-9;

duration milliseconds(std::int64_t count) {
    return std::chrono::milliseconds(count);
}

bool is_digest(const std::string& text) {
    return text.size() == digest_digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

std::vector<std::string> read_digests(field_reader& fields) {
    std::vector<std::string> digests;
    std::set<std::string> seen;
    for (const auto& [item, path] : fields.items("keys", max_keys)) {
        if (!item.is_string() || !is_digest(item.as_string())) {
            throw field_error(path, "has to be a SHA-256 digest: 64 lower-case hexadecimal digits");
        }
        if (!seen.insert(item.as_string()).second) {
            throw field_error(path, "is listed twice");
        }
        digests.push_back(item.as_string());
    }
    return digests;
}

customer_limits read_limits(field_reader& fields) {
    customer_limits limits;
    if (!fields.has("limits")) {
        return limits;
    }
    field_reader inner = fields.object("limits");
    limits.requests_per_second =
        inner.number_or("requests_per_second", 0.0, max_requests_per_second, 0.0);
    limits.tokens_per_second =
        inner.number_or("tokens_per_second", 0.0, max_tokens_per_second, 0.0);
    limits.concurrent_requests =
        inner.integer_or("concurrent_requests", 0, max_concurrent_requests, 0);
    inner.reject_unknown_members();
    return limits;
}

rank read_rank(const web::json::value& item, const std::string& path) {
    field_reader fields(item, path);
    rank result;
    result.name = fields.name("name");
    result.level = static_cast<int>(fields.integer("level", 0, max_level));
    result.floor_share = fields.number_or("floor_share", 0.0, 1.0, 0.0);
    result.first_token_target =
        milliseconds(fields.integer("first_token_target_ms", 1, max_milliseconds));
    result.deadline = milliseconds(fields.integer("deadline_ms", 1, max_milliseconds));
    fields.reject_unknown_members();
    if (result.first_token_target > result.deadline) {
        throw field_error(fields.path("first_token_target_ms"), "may not be above deadline_ms");
    }
    return result;
}

std::vector<rank> read_ranks(field_reader& fields) {
    std::vector<rank> ranks;
    std::set<std::string> names;
    std::set<int> levels;
    double floors = 0.0;
    for (const auto& [item, path] : fields.items("ranks", max_ranks)) {
        rank next = read_rank(item, path);
        if (!names.insert(next.name).second) {
            throw field_error(path + ".name", "is used by another rank of this contract");
        }
        if (!levels.insert(next.level).second) {
            throw field_error(path + ".level", "is used by another rank of this contract");
        }
        floors += next.floor_share;
        ranks.push_back(std::move(next));
    }
    if (ranks.empty()) {
        throw field_error("ranks", "has to hold at least one rank");
    }
    if (floors > 1.0 + share_rounding) {
        throw field_error("ranks", "the floor_share of all ranks together may not be above 1");
    }
    std::sort(ranks.begin(), ranks.end(),
              [](const rank& a, const rank& b) { return a.level < b.level; });
    return ranks;
}

std::vector<model_id> read_models(field_reader& fields) {
    std::vector<model_id> models;
    std::set<std::string> seen;
    for (const auto& [item, path] : fields.items("models", max_models)) {
        if (!item.is_string() || !is_name(item.as_string())) {
            throw field_error(path, "has to be a name of 1 to 64 letters, digits, '.', '_' or '-'");
        }
        if (!seen.insert(item.as_string()).second) {
            throw field_error(path, "is listed twice");
        }
        models.emplace_back(item.as_string());
    }
    return models;
}

std::vector<service_terms> read_services(field_reader& fields) {
    std::vector<service_terms> services;
    std::set<std::string> seen;
    for (const auto& [item, path] : fields.items("services", max_services)) {
        field_reader inner(item, path);
        service_terms terms;
        terms.service = service_id(inner.name("service"));
        terms.repeatable = inner.bool_or("repeatable", true);
        terms.deadline = milliseconds(inner.integer("deadline_ms", 1, max_milliseconds));
        inner.reject_unknown_members();
        if (!seen.insert(terms.service.value()).second) {
            throw field_error(path + ".service", "is listed twice");
        }
        services.push_back(std::move(terms));
    }
    return services;
}

contract read_contract(const web::json::value& document, std::int64_t revision) {
    field_reader fields(document, "");
    contract result;
    result.revision = revision;
    result.customer = customer_id(fields.name("customer"));
    result.weight = fields.number_or("weight", min_weight, max_weight, 1.0);
    result.key_digests = read_digests(fields);
    result.limits = read_limits(fields);
    result.ranks = read_ranks(fields);
    result.models = read_models(fields);
    result.services = read_services(fields);
    fields.reject_unknown_members();
    return result;
}

web::json::value print_rank(const rank& value) {
    web::json::value out = web::json::value::object(true);
    out["name"] = web::json::value::string(value.name);
    out["level"] = web::json::value::number(value.level);
    out["floor_share"] = web::json::value::number(value.floor_share);
    out["first_token_target_ms"] =
        web::json::value::number(to_milliseconds(value.first_token_target));
    out["deadline_ms"] = web::json::value::number(to_milliseconds(value.deadline));
    return out;
}

web::json::value print_limits(const customer_limits& value) {
    web::json::value out = web::json::value::object(true);
    out["requests_per_second"] = web::json::value::number(value.requests_per_second);
    out["tokens_per_second"] = web::json::value::number(value.tokens_per_second);
    out["concurrent_requests"] = web::json::value::number(value.concurrent_requests);
    return out;
}

web::json::value print_terms(const service_terms& value) {
    web::json::value out = web::json::value::object(true);
    out["service"] = web::json::value::string(value.service.value());
    out["repeatable"] = web::json::value::boolean(value.repeatable);
    out["deadline_ms"] = web::json::value::number(to_milliseconds(value.deadline));
    return out;
}

template <typename item, typename printer>
web::json::value print_list(const std::vector<item>& items, printer print) {
    web::json::value out = web::json::value::array(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
        out[i] = print(items[i]);
    }
    return out;
}

}  // namespace

contract parse_contract(const std::string& json, std::int64_t revision) {
    if (json.size() > max_contract_bytes) {
        throw contract_error(
            "local", "",
            "the text may have at most " + std::to_string(max_contract_bytes) + " bytes");
    }
    std::string customer = "local";
    try {
        const web::json::value document = parse_object(json);
        if (document.has_string_field("customer")) {
            customer = document.at("customer").as_string();
        }
        return read_contract(document, revision);
    } catch (const field_error& error) {
        throw contract_error(customer, error.field(), error.what());
    }
}

std::string print_contract(const contract& value) {
    web::json::value out = web::json::value::object(true);
    out["customer"] = web::json::value::string(value.customer.value());
    out["weight"] = web::json::value::number(value.weight);
    out["keys"] = print_list(value.key_digests, [](const std::string& digest) {
        return web::json::value::string(digest);
    });
    out["limits"] = print_limits(value.limits);
    out["ranks"] = print_list(value.ranks, print_rank);
    out["models"] = print_list(value.models, [](const model_id& model) {
        return web::json::value::string(model.value());
    });
    out["services"] = print_list(value.services, print_terms);
    return write_json(out, json_layout::one_line);
}

}  // namespace fuchsiaquay
