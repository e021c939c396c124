#pragma once

#include <cpprest/http_msg.h>

#include <string>

namespace fuchsiaquay {

struct refusal;

/// Sends a JSON response. Does nothing if the caller has disconnected.
void reply_json(const web::http::http_request& message, int status, const std::string& body);

/// Sends a response of any content type. Does nothing if the caller has disconnected.
void reply_body(const web::http::http_request& message, int status, const std::string& content_type,
                const std::string& body);

/// Sends an error response, with a `Retry-After` header if `reason` has a retry delay.
void reply_refusal(const web::http::http_request& message, const refusal& reason);

}  // namespace fuchsiaquay
