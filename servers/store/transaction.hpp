#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiaquay {

/// Writes that take effect atomically, and only if all conditions hold.
struct transaction {
    /// Holds if the last write to `key` was at `revision`; 0 means that the key is absent.
    struct condition {
        std::string key;
        std::int64_t revision = 0;
    };
    /// Sets `key` to `value`, or deletes it.
    struct write {
        std::string key;
        std::string value;
        bool erase = false;
        /// Lease that the key is attached to; the key is deleted when the lease ends. 0 for none.
        std::int64_t lease = 0;
    };

    std::vector<condition> conditions;
    std::vector<write> writes;
};

/// Transaction that sets `key` if its last write was at `expected_revision` (0 if absent).
transaction compare_and_swap(std::string key, std::int64_t expected_revision, std::string value);

}  // namespace fuchsiaquay
