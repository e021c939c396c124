#pragma once

#include <string>

#include "core/fleet/upstream_entry.hpp"

namespace fuchsiaquay {

/// Decodes catalogue entries from their stored form.
class upstream_codec {
public:
    upstream_codec() = default;
    upstream_codec(const upstream_codec&) = delete;
    upstream_codec& operator=(const upstream_codec&) = delete;
    virtual ~upstream_codec() = default;

    /// @param id  id under which the entry is stored
    /// @throws operation_error  if the text does not describe a usable upstream
    virtual upstream_entry decode(const std::string& id, const std::string& text) const = 0;
};

}  // namespace fuchsiaquay
