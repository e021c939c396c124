#pragma once

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// Thrown when frames cannot be encoded or the listener cannot be opened.
class frame_error final : public operation_error {
public:
    using operation_error::operation_error;
};

}  // namespace fuchsiaquay
