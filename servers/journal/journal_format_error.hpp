#pragma once

#include <string>

#include "core/error/step_error.hpp"

namespace fuchsiaquay {

/// A shard's value in the store cannot be read.
class journal_format_error : public step_error {
public:
    explicit journal_format_error(const std::string& what)
        : step_error("read journal shard", "store", what) {}
};

}  // namespace fuchsiaquay
