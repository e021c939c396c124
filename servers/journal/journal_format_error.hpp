#pragma once

#include <string>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// Thrown when a shard's value in the store is malformed.
class journal_format_error : public operation_error {
public:
    explicit journal_format_error(const std::string& reason)
        : operation_error("read journal shard", "store", reason) {}
};

}  // namespace fuchsiaquay
