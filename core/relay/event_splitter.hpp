#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaquay {

/// Cuts an event stream into whole events and knows the id of the last one.
class event_splitter {
public:
    /// @param last_id  id of the event before the first one that is expected
    explicit event_splitter(std::int64_t last_id = 0) : last_id_(last_id) {}

    /// Adds bytes and returns those that now form whole events, in order.
    std::string append(std::string_view bytes);
    /// Drops the beginning of an event that will not be completed.
    void drop_partial() {
        partial_.clear();
        too_long_ = false;
    }

    /// True once an event is longer than any that is passed on; its bytes are not kept.
    bool too_long() const { return too_long_; }
    bool has_partial() const { return !partial_.empty(); }
    std::int64_t last_id() const { return last_id_; }
    /// Events seen so far.
    std::int64_t count() const { return count_; }
    /// True after an event whose id did not follow the one before it.
    bool out_of_order() const { return out_of_order_; }

private:
    void note(std::string_view event);

    std::string partial_;
    std::int64_t last_id_;
    std::int64_t count_ = 0;
    bool out_of_order_ = false;
    bool too_long_ = false;
};

}  // namespace fuchsiaquay
