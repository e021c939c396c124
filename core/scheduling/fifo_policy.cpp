#include "core/scheduling/fifo_policy.hpp"

#include <algorithm>

#include "core/scheduling/admission_check.hpp"

namespace fuchsiaquay {

void fifo_policy::push(const queued_request& queued, instant /*now*/) {
    waiting_.push_back(queued);
    (queued.is_long ? long_cost_ : short_cost_) += queued.cost;
}

std::optional<queued_request> fifo_policy::remove(const request_id& request) {
    const auto found = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&request](const queued_request& each) { return each.request.request == request; });
    if (found == waiting_.end()) {
        return std::nullopt;
    }
    (found->is_long ? long_cost_ : short_cost_) -= found->cost;
    const queued_request removed = *found;
    waiting_.erase(found);
    return removed;
}

bool fifo_policy::contains(const request_id& request) const {
    return std::any_of(waiting_.begin(), waiting_.end(), [&request](const queued_request& each) {
        return each.request.request == request;
    });
}

std::optional<policy_pick> fifo_policy::pop(const admission_check& admission_check,
                                            instant /*now*/) {
    if (waiting_.empty() || !admission_check.fits(waiting_.front(), admission_terms{})) {
        return std::nullopt;
    }
    const policy_pick pick{waiting_.front(), admission_terms{}};
    remove(pick.queued.request.request);
    return pick;
}

admission_terms fifo_policy::terms(const queued_request& /*queued*/, instant /*now*/) const {
    return admission_terms{};
}

duration fifo_policy::expected_wait(const queued_request& /*queued*/, double speed,
                                    instant /*now*/) const {
    return from_seconds((short_cost_ + long_cost_) / speed);
}

double fifo_policy::expected_speed(const queued_request& /*queued*/, double speed,
                                   instant /*now*/) const {
    return speed;
}

void fifo_policy::record_served_work(int /*level*/, bool /*is_long*/, double /*tokens*/,
                                     instant /*now*/) {}

void fifo_policy::set_long_prefill_level(int /*level*/, instant /*now*/) {}

bool fifo_policy::long_floor_due(int /*level*/, instant /*now*/) const {
    return false;
}

const queued_request* fifo_policy::next_long() const {
    return nullptr;
}

std::vector<std::pair<int, double>> fifo_policy::floors() const {
    return {};
}

std::size_t fifo_policy::size() const {
    return waiting_.size();
}

double fifo_policy::queued_cost(bool is_long) const {
    return is_long ? long_cost_ : short_cost_;
}

}  // namespace fuchsiaquay
