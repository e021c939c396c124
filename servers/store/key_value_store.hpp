#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "servers/store/transactional_store.hpp"
#include "servers/store/watch_event.hpp"

namespace fuchsiaquay {

/// Key-value store that pushes changes to watchers.
class key_value_store : public transactional_store {
public:
    using watch_handler = std::function<void(const watch_event&)>;
    /// Called once with the reason if a watch fails.
    using watch_end_handler = std::function<void(const std::string& reason)>;
    using watch_id = std::uint64_t;

    /// Reports changes to keys with `prefix`, starting at `from_revision`, in revision order.
    virtual watch_id watch(const std::string& prefix, std::int64_t from_revision,
                           watch_handler event, watch_end_handler end) = 0;
    virtual void cancel_watch(watch_id id) = 0;
};

}  // namespace fuchsiaquay
