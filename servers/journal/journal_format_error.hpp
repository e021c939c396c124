#pragma once

#include <string>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// A shard's value in the store cannot be read.
class journal_format_error : public operation_error {
public:
    explicit journal_format_error(const std::string& what)
        : operation_error("read journal shard", "store", what) {}
};

}  // namespace fuchsiaquay
