#include "core/membership/data_centre_monitor.hpp"

#include <algorithm>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {
namespace {

std::uint32_t key_of(const data_centre_id& data_centre) {
    return static_cast<std::uint32_t>(stable_hash(data_centre.value()));
}

}  // namespace

data_centre_monitor::data_centre_monitor(const data_centre_id& own, duration unreachable_after,
                                         instant now)
    : own_key_(key_of(own)), silent_after_(unreachable_after), started_(now) {}

void data_centre_monitor::advance_own_heartbeat() {
    ++entries_[own_key_].beat;
}

void data_centre_monitor::receive(const std::vector<data_centre_heartbeat>& beats, instant now) {
    for (const data_centre_heartbeat& beat : beats) {
        entry& known = entries_[beat.data_centre_key];
        if (beat.beat > known.beat) {
            known.beat = beat.beat;
            known.heard = now;
        }
    }
}

void data_centre_monitor::restart_silence(instant now) {
    started_ = now;
}

bool data_centre_monitor::reachable(const data_centre_id& data_centre, instant now) const {
    const std::uint32_t key = key_of(data_centre);
    if (key == own_key_) {
        return true;
    }
    const auto known = entries_.find(key);
    const instant heard =
        known == entries_.end() ? started_ : std::max(known->second.heard, started_);
    return now - heard < silent_after_;
}

std::vector<data_centre_heartbeat> data_centre_monitor::heartbeats() const {
    std::vector<data_centre_heartbeat> list;
    list.reserve(entries_.size());
    for (const auto& [key, known] : entries_) {
        list.push_back(data_centre_heartbeat{key, known.beat});
    }
    return list;
}

}  // namespace fuchsiaquay
