#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace fuchsiaquay {

/// The data centres to whose upstreams the operator wants nothing to be sent. Immutable.
class evacuation_set {
public:
    evacuation_set() = default;
    /// @param revision  store revision of the last known change; 0 if none is known
    evacuation_set(std::set<std::string> data_centres, std::int64_t revision)
        : data_centres_(std::move(data_centres)), revision_(revision) {}

    const std::set<std::string>& data_centres() const noexcept { return data_centres_; }
    std::int64_t revision() const noexcept { return revision_; }
    bool empty() const noexcept { return data_centres_.empty(); }

    /// Whether nothing may be sent to an upstream in `data_centre`. An upstream whose data centre
    /// is not known (empty) may be in any of them, so it is covered while any data centre is.
    bool covers(const std::string& data_centre) const {
        if (data_centres_.empty()) {
            return false;
        }
        return data_centre.empty() || data_centres_.count(data_centre) > 0;
    }

    friend bool operator==(const evacuation_set& a, const evacuation_set& b) {
        return std::tie(a.data_centres_, a.revision_) == std::tie(b.data_centres_, b.revision_);
    }
    friend bool operator!=(const evacuation_set& a, const evacuation_set& b) { return !(a == b); }

private:
    std::set<std::string> data_centres_;
    std::int64_t revision_ = 0;
};

}  // namespace fuchsiaquay
