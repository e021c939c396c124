#include "drivers/admin/admin_json.hpp"

#include "drivers/json/json_parser.hpp"
#include "drivers/json/json_text.hpp"
#include "drivers/json/json_writer.hpp"

namespace fuchsiaquay {

admin_reply json_reply(int status, const web::json::value& body) {
    admin_reply reply;
    reply.status = status;
    reply.body = write_json(body, json_layout::one_line);
    return reply;
}

admin_reply error_reply(int status, const std::string& code, const std::string& message,
                        const std::string& executed) {
    web::json::value error = web::json::value::object(true);
    error["code"] = web::json::value::string(code);
    error["message"] = web::json::value::string(message);
    error["executed"] = web::json::value::string(executed);
    web::json::value body = web::json::value::object(true);
    body["error"] = error;
    admin_reply reply = json_reply(status, body);
    if (status == status_unavailable) {
        reply.headers.emplace_back("Retry-After", "2");
    }
    return reply;
}

void set_revision(admin_reply& reply, std::int64_t revision) {
    reply.headers.emplace_back("ETag", "\"" + std::to_string(revision) + "\"");
}

web::json::value parse_or_null(const std::string& text) {
    try {
        return parse_json(text);
    } catch (const json_error&) {
        return web::json::value::null();
    }
}

}  // namespace fuchsiaquay
