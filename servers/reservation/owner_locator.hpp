#pragma once

#include <optional>

#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

struct upstream;

/// Finds the host that currently owns an upstream.
class owner_locator {
public:
    owner_locator() = default;
    owner_locator(const owner_locator&) = delete;
    owner_locator& operator=(const owner_locator&) = delete;
    virtual ~owner_locator() = default;

    /// Returns the owner of `target`, or nothing if no host is alive.
    virtual std::optional<member_update> owner_of(const upstream& target) const = 0;
};

}  // namespace fuchsiaquay
