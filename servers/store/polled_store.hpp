#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "servers/store/change_batch.hpp"
#include "servers/store/transactional_store.hpp"

namespace fuchsiaquay {

/// Key-value service whose changes are asked for by long polls.
class polled_store : public transactional_store {
public:
    using poll_handler = std::function<void(const change_batch&)>;

    /// Changes under `prefix` after revision `after`, as soon as there is one, or none once `wait`
    /// has passed.
    virtual void poll(const std::string& prefix, std::int64_t after, duration wait,
                      poll_handler done) = 0;
};

}  // namespace fuchsiaquay
