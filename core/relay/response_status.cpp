#include "core/relay/response_status.hpp"

namespace fuchsiaquay {

namespace {

constexpr int first_interim_status = 100;
constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int last_final_status = 599;
constexpr std::size_t status_digits = 3;

}  // namespace

bool is_final_status(int status) {
    return status >= first_final_status && status <= last_final_status;
}

bool is_interim_status(int status) {
    return status >= first_interim_status && status < first_final_status &&
           status != switching_protocols;
}

std::string describe_invalid_status(int status) {
    std::string digits = std::to_string(status);
    if (digits.size() < status_digits) {
        digits.insert(0, status_digits - digits.size(), '0');
    }
    return "invalid status " + digits;
}

}  // namespace fuchsiaquay
