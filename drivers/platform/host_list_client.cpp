#include "drivers/platform/host_list_client.hpp"

#include <cpprest/http_client.h>

#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/http/make_http_client.hpp"

namespace fuchsiaquay {

namespace json = web::json;
namespace http = web::http;

namespace {

std::string text_field(const json::value& object, const std::string& name) {
    return object.has_string_field(name) ? object.at(name).as_string() : "";
}

std::int64_t number_field(const json::value& object, const std::string& name) {
    return object.has_number_field(name) ? object.at(name).as_number().to_int64() : 0;
}

upstream parse_upstream(const json::value& item) {
    upstream result;
    result.id = upstream_id(item.at("id").as_string());
    result.kind =
        text_field(item, "kind") == "service" ? upstream_kind::service : upstream_kind::engine;
    result.service = service_id(text_field(item, "service"));
    result.address = item.at("address").as_string();
    result.port = static_cast<std::uint16_t>(item.at("port").as_integer());
    result.data_centre = data_centre_id(text_field(item, "data_centre"));
    result.leaving = text_field(item, "state") == "leaving";
    result.checks_orders =
        item.has_boolean_field("checks_orders") && item.at("checks_orders").as_bool();
    result.memory_tokens = number_field(item, "memory_tokens");
    if (item.has_array_field("models")) {
        for (const json::value& model : item.at("models").as_array()) {
            result.models.emplace_back(model.as_string());
        }
    }
    return result;
}

std::vector<upstream> parse_list(const json::value& answer) {
    std::vector<upstream> upstreams;
    for (const json::value& item : answer.at("upstreams").as_array()) {
        upstreams.push_back(parse_upstream(item));
    }
    return upstreams;
}

}  // namespace

host_list_client::host_list_client(control_loop& loop, std::string base_uri, duration timeout)
    : loop_(loop), base_uri_(std::move(base_uri)), timeout_(timeout) {}

host_list_client::~host_list_client() = default;

void host_list_client::read(list_handler done) {
    http::client::http_client_config config;
    config.set_timeout(timeout_);
    auto client = make_http_client(base_uri_, config);
    control_loop& loop = loop_;
    client->request(http::methods::GET, "/platform/v1/hosts")
        .then([client](const http::http_response& response) { return response.extract_json(true); })
        .then([&loop, done = std::move(done)](const pplx::task<json::value>& answer) {
            std::string failure;
            std::vector<upstream> upstreams;
            try {
                upstreams = parse_list(answer.get());
            } catch (const std::exception& error) {
                failure = error.what();
            }
            loop.post([done, failure, upstreams] { done(failure, upstreams); });
        });
}

}  // namespace fuchsiaquay
