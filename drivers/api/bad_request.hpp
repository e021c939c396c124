#pragma once

#include <string>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// Thrown when a caller's request is invalid. Holds the HTTP status and the error code of the
/// response.
class bad_request : public operation_error {
public:
    bad_request(int status, std::string code, const std::string& message)
        : operation_error("read request", "caller", message),
          status_(status),
          code_(std::move(code)) {}

    int status() const noexcept { return status_; }
    const std::string& code() const noexcept { return code_; }

private:
    int status_;
    std::string code_;
};

}  // namespace fuchsiaquay
