#pragma once

#include "core/error/step_error.hpp"

namespace fuchsiaquay {

/// A frame that cannot be built or sent.
class frame_error final : public step_error {
public:
    using step_error::step_error;
};

}  // namespace fuchsiaquay
