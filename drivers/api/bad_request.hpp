#pragma once

#include <string>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// The caller's request cannot be understood. Carries the HTTP status and a stable code.
class bad_request : public operation_error {
public:
    bad_request(int status, std::string code, const std::string& what)
        : operation_error("read request", "caller", what),
          status_(status),
          code_(std::move(code)) {}

    int status() const noexcept { return status_; }
    const std::string& code() const noexcept { return code_; }

private:
    int status_;
    std::string code_;
};

}  // namespace fuchsiaquay
