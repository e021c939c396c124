#include "drivers/http/make_http_client.hpp"

#include "core/relay/response_status.hpp"

namespace fuchsiaquay {

namespace http = web::http;

namespace {

pplx::task<http::http_response> check_status(
    const http::http_request& request, const std::shared_ptr<http::http_pipeline_stage>& next) {
    return next->propagate(request).then([](const http::http_response& response) {
        if (!is_final_status(response.status_code())) {
            throw http::http_exception(describe_invalid_status(response.status_code()));
        }
        return response;
    });
}

}  // namespace

std::shared_ptr<http::client::http_client> make_http_client(
    const std::string& uri, const http::client::http_client_config& config) {
    auto client = std::make_shared<http::client::http_client>(uri, config);
    client->add_handler(check_status);
    return client;
}

}  // namespace fuchsiaquay
