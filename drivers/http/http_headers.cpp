#include "drivers/http/http_headers.hpp"

#include <string_view>

namespace fuchsiaquay {

std::string header_of(const web::http::http_request& message, const char* name) {
    const auto found = message.headers().find(name);
    return found == message.headers().end() ? "" : found->second;
}

std::string bearer_token_of(const web::http::http_request& message) {
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = header_of(message, "Authorization");
    return value.compare(0, scheme.size(), scheme) == 0 ? value.substr(scheme.size()) : "";
}

}  // namespace fuchsiaquay
