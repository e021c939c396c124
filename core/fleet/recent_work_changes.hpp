#pragma once

#include <cstdint>
#include <map>
#include <optional>
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
    void add(const std::vector<engine_work>& works);
    /// The changes of the next announcement, oldest first: those that were not announced yet and
    /// those that were first announced within the repeat time.
    std::vector<engine_work> announce(instant now);

private:
    struct change {
        engine_work work;
        std::uint64_t number = 0;
        std::optional<instant> announced_at;
    };

    /// Changes by request key and engine.
    std::map<std::pair<std::uint64_t, std::string>, change> changes_;
    std::uint64_t count_ = 0;
};

}  // namespace fuchsiaquay
