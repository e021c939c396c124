#pragma once

#include <cstddef>
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

    /// Appends bytes to the buffer, and removes and returns all complete events from it. Returns
    /// nothing, and counts nothing, if one of them does not continue the stream.
    std::string append(std::string_view bytes);
    /// Prepares for another upstream that continues after the last complete event. If the stream
    /// had begun, the end counts only after a further event: without one, an upstream that knows
    /// nothing of the stream would end it.
    void drop_partial() {
        event_expected_ = event_expected_ || count_ > 0 || !partial_.empty();
        partial_.clear();
        too_long_ = false;
        out_of_order_ = false;
    }

    /// True if an event exceeds the maximum length. Its bytes are discarded.
    bool too_long() const { return too_long_; }
    /// True if an event has begun or is expected, so that the stream cannot end here.
    bool has_partial() const { return event_expected_ || !partial_.empty(); }
    /// Memory of an event that is not complete.
    std::size_t partial_bytes() const { return partial_.empty() ? 0 : partial_.capacity(); }
    std::int64_t last_id() const { return last_id_; }
    /// Number of complete events so far, without comments.
    std::int64_t count() const { return count_; }
    /// True after an event whose id does not directly follow the previous one, or after text that
    /// is no event in a stream with ids. Nothing is accepted until `drop_partial` is called.
    bool out_of_order() const { return out_of_order_; }

private:
    bool accept(std::string_view event);

    std::string partial_;
    std::int64_t last_id_;
    std::int64_t count_ = 0;
    bool event_expected_ = false;
    bool out_of_order_ = false;
    bool too_long_ = false;
};

}  // namespace fuchsiaquay
