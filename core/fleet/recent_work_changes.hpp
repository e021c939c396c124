#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/placement/engine_work.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Latest state of the work that changed recently. Each announcement of changes repeats it, since
/// a receiver drops announcements that arrive after a newer one and datagrams can be lost.
class recent_work_changes {
public:
    void add(const std::vector<engine_work>& works, instant now);
    /// The changes of the repeat time, oldest first.
    std::vector<engine_work> since(instant now);

private:
    struct change {
        engine_work work;
        instant changed_at{};
        std::uint64_t number = 0;
    };

    void remove_old(instant now);

    /// Changes by request key and engine.
    std::map<std::pair<std::uint64_t, std::string>, change> changes_;
    std::uint64_t count_ = 0;
};

}  // namespace fuchsiaquay
