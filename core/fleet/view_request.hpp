#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// A host asks another one for what it knows of the store.
struct view_request {
    std::string sender;
    /// Returned by the answer, so that its age counts from the question.
    std::uint64_t nonce = 0;
    /// Revision of the store that the sender's copy of the catalogue reflects.
    std::int64_t catalogue_revision = 0;
};

}  // namespace fuchsiaquay
