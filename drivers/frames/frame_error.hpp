#pragma once

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// A frame that cannot be built or sent.
class frame_error final : public operation_error {
public:
    using operation_error::operation_error;
};

}  // namespace fuchsiaquay
