#pragma once

// Includes cpprestsdk headers; include only in .cpp files of the administration API.

#include <cpprest/json.h>

#include <cstdint>
#include <string>

#include "servers/admin/admin_reply.hpp"

namespace fuchsiaquay {

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_precondition_failed = 412;
constexpr int status_unprocessable = 422;
constexpr int status_precondition_required = 428;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// Builds a reply with a JSON body.
admin_reply json_reply(int status, const web::json::value& body);
/// Builds a reply with an error body: `{"error":{"code","message","executed"}}`.
/// @param executed  "no" or "maybe"
admin_reply error_reply(int status, const std::string& code, const std::string& message,
                        const std::string& executed = "no");
/// Sets the `ETag` header to a revision.
void set_revision(admin_reply& reply, std::int64_t revision);
/// Parses JSON text; returns null if it is not valid JSON.
web::json::value parse_or_null(const std::string& text);

}  // namespace fuchsiaquay
