#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaquay {

/// Splits an event stream into complete events and tracks the id of the last one.
class event_splitter {
public:
    /// @param last_id  id of the event that precedes the first expected one
    explicit event_splitter(std::int64_t last_id = 0) : last_id_(last_id) {}

    /// Appends bytes to the buffer, and removes and returns all complete events from it.
    std::string append(std::string_view bytes);
    /// Discards an incomplete event that will not be completed.
    void drop_partial() {
        partial_.clear();
        too_long_ = false;
    }

    /// True if an event exceeds the maximum length. Its bytes are discarded.
    bool too_long() const { return too_long_; }
    bool has_partial() const { return !partial_.empty(); }
    std::int64_t last_id() const { return last_id_; }
    /// Number of complete events so far.
    std::int64_t count() const { return count_; }
    /// True after an event whose id does not directly follow the previous one.
    bool out_of_order() const { return out_of_order_; }

private:
    void check_order(std::string_view event);

    std::string partial_;
    std::int64_t last_id_;
    std::int64_t count_ = 0;
    bool out_of_order_ = false;
    bool too_long_ = false;
};

}  // namespace fuchsiaquay
