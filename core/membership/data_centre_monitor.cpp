#include "core/membership/data_centre_monitor.hpp"

#include <algorithm>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {
namespace {

std::uint32_t key_of(const data_centre_id& data_centre) {
    return static_cast<std::uint32_t>(stable_hash(data_centre.value()));
}

}  // namespace

data_centre_monitor::data_centre_monitor(const data_centre_id& own_data_centre,
                                         duration unreachable_after, instant now)
    : own_key_(key_of(own_data_centre)),
      unreachable_after_(unreachable_after),
      silence_start_(now) {}

void data_centre_monitor::advance_own_heartbeat() {
    ++heartbeats_[own_key_].counter;
}

void data_centre_monitor::receive(const std::vector<data_centre_heartbeat>& beats, instant now) {
    for (const data_centre_heartbeat& beat : beats) {
        heartbeat& known = heartbeats_[beat.data_centre_key];
        if (beat.beat > known.counter) {
            known.counter = beat.beat;
            known.increased_at = now;
        }
    }
}

void data_centre_monitor::restart_silence(instant now) {
    silence_start_ = now;
}

bool data_centre_monitor::reachable(const data_centre_id& data_centre, instant now) const {
    const std::uint32_t key = key_of(data_centre);
    if (key == own_key_) {
        return true;
    }
    const auto known = heartbeats_.find(key);
    const instant last_increase = known == heartbeats_.end()
                                      ? silence_start_
                                      : std::max(known->second.increased_at, silence_start_);
    return now - last_increase < unreachable_after_;
}

std::vector<data_centre_heartbeat> data_centre_monitor::heartbeats() const {
    std::vector<data_centre_heartbeat> result;
    result.reserve(heartbeats_.size());
    for (const auto& [key, known] : heartbeats_) {
        result.push_back(data_centre_heartbeat{key, known.counter});
    }
    return result;
}

}  // namespace fuchsiaquay
