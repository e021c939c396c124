#pragma once

#include <string>

namespace fuchsiaquay {

/// What an operator may do. A later role includes the earlier ones.
enum class operator_role { read, change };

/// An operator whose token was recognised.
struct operator_identity {
    std::string name;
    operator_role role = operator_role::read;
};

}  // namespace fuchsiaquay
