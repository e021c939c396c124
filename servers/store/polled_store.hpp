#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "servers/store/change_batch.hpp"
#include "servers/store/transactional_store.hpp"

namespace fuchsiaquay {

/// Key-value store whose changes are retrieved by long polling. It may be restored from an older
/// copy; its revisions rise nevertheless, see `make_store_revision`.
class polled_store : public transactional_store {
public:
    using poll_handler = std::function<void(const change_batch&)>;

    /// Returns changes to keys with `prefix` after revision `after` as soon as there are any, or no
    /// changes after `wait`. The history of another era than that of `after` is not available.
    virtual void poll(const std::string& prefix, std::int64_t after, duration wait,
                      poll_handler done) = 0;
};

}  // namespace fuchsiaquay
