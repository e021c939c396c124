#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// Every fault found in a settings file, one line each: file, line, key and what is allowed.
class settings_error : public operation_error {
public:
    settings_error(const std::string& file, std::vector<std::string> faults)
        : operation_error("check settings", file, std::to_string(faults.size()) + " faults"),
          faults_(std::move(faults)) {}

    const std::vector<std::string>& faults() const noexcept { return faults_; }

private:
    std::vector<std::string> faults_;
};

}  // namespace fuchsiaquay
