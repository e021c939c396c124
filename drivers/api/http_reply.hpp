#pragma once

#include <cpprest/http_msg.h>

#include <string>

namespace fuchsiaquay {

struct refusal;

/// Sends a JSON answer; a caller that has left is ignored.
void reply_json(const web::http::http_request& message, int status, const std::string& body);

/// Sends an answer of any type; a caller that has left is ignored.
void reply_body(const web::http::http_request& message, int status, const std::string& content_type,
                const std::string& body);

/// Sends a refusal with `Retry-After` where there is one.
void reply_refusal(const web::http::http_request& message, const refusal& reason);

}  // namespace fuchsiaquay
