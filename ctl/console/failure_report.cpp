#include "ctl/console/failure_report.hpp"

#include <ostream>

#include "drivers/json/field_reader.hpp"

namespace fuchsiaquay {
namespace {

constexpr int first_error_status = 400;
constexpr int status_conflict = 412;
constexpr int status_gateway_timeout = 504;

std::string message_of(const std::string& body) {
    try {
        field_reader fields(parse_object(body), "");
        field_reader error = fields.object("error");
        return error.text("code", body.size()) + ": " + error.text_or("message", body.size(), "");
    } catch (const field_error&) {
        return body;
    }
}

}  // namespace

exit_code report_failure(const command_context& context, const admin_channel::response& response) {
    if (response.status == 0) {
        context.err << "fuchsiaquayctl: no answer: " << response.failure << "\n";
        return response.in_doubt ? exit_code::unknown : exit_code::unreachable;
    }
    if (response.status < first_error_status) {
        return exit_code::done;
    }
    context.err << "fuchsiaquayctl: " << message_of(response.body) << "\n";
    switch (response.status) {
        case status_conflict:
            return exit_code::conflict;
        case status_gateway_timeout:
            return exit_code::unknown;
        default:
            return exit_code::refused;
    }
}

}  // namespace fuchsiaquay
