#pragma once

#include <string>

namespace fuchsiaquay {

/// Permissions of an operator. Each role includes the ones before it.
enum class operator_role { read, change };

/// An authenticated operator.
struct operator_identity {
    std::string name;
    operator_role role = operator_role::read;
};

}  // namespace fuchsiaquay
