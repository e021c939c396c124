#include "servers/fleet/engine_work_table.hpp"

#include <algorithm>

#include "core/placement/pass_timing.hpp"

namespace fuchsiaquay {

void engine_work_table::apply_own_works(const std::vector<engine_work>& works) {
    for (const engine_work& work : works) {
        count_if_new(self_, work);
        loads_[work.engine].apply(self_, work);
        if (work.phase == work_phase::ended) {
            own_work_items_.erase({work.key, work.engine});
        } else {
            own_work_items_[{work.key, work.engine}] = work;
        }
    }
    if (own_changed_ && !works.empty()) {
        own_changed_(works);
    }
    for (const engine_work& work : works) {
        notify_if_capacity_freed(work);
    }
}

void engine_work_table::apply_remote_work(const std::string& host, const engine_work& work) {
    count_if_new(host, work);
    loads_[work.engine].apply(host, work);
    notify_if_capacity_freed(work);
}

void engine_work_table::replace_remote_work(const std::string& host,
                                            const std::vector<engine_work>& works) {
    for (const engine_work& work : works) {
        count_if_new(host, work);
    }
    for (auto& [upstream, load] : loads_) {
        load.remove_host(host);
    }
    for (const engine_work& work : works) {
        loads_[work.engine].apply(host, work);
    }
    notify_capacity_freed();
}

void engine_work_table::remove_host(const std::string& host) {
    replace_remote_work(host, {});
}

void engine_work_table::remove_upstream(const std::string& upstream) {
    loads_.erase(upstream);
    slowdowns_.remove(upstream);
    rate_limits_.remove(upstream);
    cold_budget_.remove(upstream);
}

void engine_work_table::on_upstream_restarted(const upstream_lifetime& upstream, instant now) {
    slowdowns_.remove(upstream.id);
    rate_limits_.on_restarted(upstream.id, now);
    quarantine_.on_engine_restarted(upstream, now);
}

void engine_work_table::count_if_new(const std::string& host, const engine_work& work) {
    const bool sent = work.phase == work_phase::prefill || work.phase == work_phase::decode;
    if (sent && !load(work.engine).contains(host, work.key)) {
        rate_limits_.on_dispatch(work.engine, work.dispatched_at);
        cold_budget_.on_dispatch(work.engine, host == self_, work.dispatched_at);
        shares_.on_dispatch(work);
    }
}

const engine_load& engine_work_table::load(const std::string& upstream) const {
    static const engine_load none;
    const auto found = loads_.find(upstream);
    return found == loads_.end() ? none : found->second;
}

std::size_t engine_work_table::own_dispatched_after(instant since) const {
    return static_cast<std::size_t>(
        std::count_if(own_work_items_.begin(), own_work_items_.end(), [since](const auto& item) {
            const engine_work& work = item.second;
            return work.generates() && work.phase == work_phase::prefill &&
                   work.prefill_time <= long_prefill_threshold && work.dispatched_at > since;
        }));
}

std::vector<engine_work> engine_work_table::own_work_items() const {
    std::vector<engine_work> works;
    for (const auto& [key, work] : own_work_items_) {
        works.push_back(work);
    }
    return works;
}

void engine_work_table::notify_if_capacity_freed(const engine_work& work) const {
    if (work.phase != work_phase::prefill) {
        notify_capacity_freed();
    }
}

void engine_work_table::notify_capacity_freed() const {
    if (capacity_freed_) {
        capacity_freed_();
    }
}

}  // namespace fuchsiaquay
