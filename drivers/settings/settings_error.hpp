#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// Thrown for an invalid settings file. Holds one line for each fault: file, line, key and the
/// allowed values.
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
